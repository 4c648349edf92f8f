package cacheproxy.daemon.fleet;

import cacheproxy.control.ControlRequestHandler;
import cacheproxy.control.ControlResponse;
import cacheproxy.fleet.lease.LeaseManager;
import cacheproxy.fleet.lease.LeaseStatus;
import cacheproxy.fleet.lease.NameHash;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;

/** What operators ask of duties at the control address. */
final class LeaseEndpoints implements ControlRequestHandler {
    private final LeaseManager duties;
    private final DoubleSupplier clock;
    private final long me;
    private Map<Long, String> names = Map.of();
    private Set<String> told = Set.of();

    LeaseEndpoints(LeaseManager duties, DoubleSupplier clock, long me) {
        this.duties = duties;
        this.clock = clock;
        this.me = me;
    }

    /** Peers' names, and the duties that are told of. */
    void use(Map<Long, String> peers, Set<String> known) {
        names = Map.copyOf(peers);
        told = Set.copyOf(known);
    }

    @Override
    public ControlResponse handle(String method, String uri) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        String[] path = query.path().substring(1).split("/", -1);
        boolean transfer = path.length == 3 && path[2].equals("transfer");
        String needed = transfer ? "POST" : "GET";
        if (path.length > 2 && !transfer) {
            return new ControlResponse(
                    404, "the calls are GET /duties, GET /duties/NAME and POST /duties/NAME/transfer?to=PEER");
        }
        if (!method.equals(needed)) {
            return new ControlResponse(405, "use " + needed + " " + query.path(), needed);
        }
        if (path.length == 1) {
            return new ControlResponse(200, json().toString());
        }
        if (!told.contains(path[1])) {
            return new ControlResponse(404, "there is no such duty");
        }
        double now = clock.getAsDouble();
        if (transfer) {
            List<String> to = query.parameters().getOrDefault("to", List.of());
            long id = to.isEmpty() ? NameHash.NOBODY : NameHash.of(to.get(0));
            if (!names.containsKey(id) || id == me) {
                return new ControlResponse(400, "say to=PEER, the name of another proxy");
            }
            return duties.transfer(path[1], id, now, "handed to " + names.get(id))
                    ? new ControlResponse(200, "handing it to " + names.get(id))
                    : new ControlResponse(409, "not held here");
        }
        long epoch = duties.permit(path[1], now, 0);
        return epoch >= 0 ? new ControlResponse(200, Long.toString(epoch)) : new ControlResponse(503, "not held here");
    }

    private JsonArray json() {
        JsonArray list = new JsonArray();
        double now = clock.getAsDouble();
        for (LeaseStatus s : duties.statuses(now)) {
            if (!told.contains(s.lease())) {
                continue;
            }
            JsonObject o = new JsonObject();
            o.addProperty("duty", s.lease());
            o.addProperty("holding", s.heldHere());
            o.addProperty("epoch", s.epoch());
            o.addProperty("left_ms", Math.round(s.remainingMs()));
            o.addProperty("holder", names.get(s.holder()));
            list.add(o);
        }
        return list;
    }
}
