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

/**
 * Handles the requests about leases at the control address: the list of leases, the epoch of a lease, and its transfer
 * to another proxy.
 */
final class LeaseEndpoints implements ControlRequestHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final String NOT_HELD = "not held here";

    private final LeaseManager leases;
    private final DoubleSupplier clock;
    private final long ownId;
    private Map<Long, String> peerNames = Map.of();
    private Set<String> shownLeases = Set.of();

    LeaseEndpoints(LeaseManager leases, DoubleSupplier clock, long ownId) {
        this.leases = leases;
        this.clock = clock;
        this.ownId = ownId;
    }

    /** Replaces the names of the peers by id, and the set of leases that operators can see. */
    void update(Map<Long, String> names, Set<String> shown) {
        peerNames = Map.copyOf(names);
        shownLeases = Set.copyOf(shown);
    }

    @Override
    public ControlResponse handle(String method, String uri) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        String[] path = query.path().substring(1).split("/", -1);
        boolean isTransfer = path.length == 3 && path[2].equals("transfer");
        if (path.length > 2 && !isTransfer) {
            return new ControlResponse(
                    NOT_FOUND, "the calls are GET /duties, GET /duties/NAME and POST /duties/NAME/transfer?to=PEER");
        }
        String allowed = isTransfer ? "POST" : "GET";
        if (!method.equals(allowed)) {
            return new ControlResponse(METHOD_NOT_ALLOWED, "use " + allowed + " " + query.path(), allowed);
        }
        if (path.length == 1) {
            return new ControlResponse(OK, listAsJson().toString());
        }
        if (!shownLeases.contains(path[1])) {
            return new ControlResponse(NOT_FOUND, "there is no such duty");
        }
        return isTransfer ? transfer(path[1], query) : epoch(path[1]);
    }

    private ControlResponse epoch(String lease) {
        long epoch = leases.permit(lease, clock.getAsDouble(), 0);
        return epoch >= 0 ? new ControlResponse(OK, Long.toString(epoch)) : new ControlResponse(UNAVAILABLE, NOT_HELD);
    }

    private ControlResponse transfer(String lease, QueryStringDecoder query) {
        List<String> receivers = query.parameters().getOrDefault("to", List.of());
        long receiver = receivers.isEmpty() ? NameHash.NO_ID : NameHash.of(receivers.get(0));
        String name = peerNames.get(receiver);
        if (name == null || receiver == ownId) {
            return new ControlResponse(BAD_REQUEST, "say to=PEER, the name of another proxy");
        }
        return leases.transfer(lease, receiver, clock.getAsDouble(), "handed to " + name)
                ? new ControlResponse(OK, "handing it to " + name)
                : new ControlResponse(CONFLICT, NOT_HELD);
    }

    private JsonArray listAsJson() {
        JsonArray list = new JsonArray();
        for (LeaseStatus status : leases.statuses(clock.getAsDouble())) {
            if (shownLeases.contains(status.lease())) {
                list.add(asJson(status));
            }
        }
        return list;
    }

    private JsonObject asJson(LeaseStatus status) {
        JsonObject json = new JsonObject();
        json.addProperty("duty", status.lease());
        json.addProperty("holding", status.heldHere());
        json.addProperty("epoch", status.epoch());
        json.addProperty("left_ms", Math.round(status.remainingMs()));
        json.addProperty("holder", peerNames.get(status.holder()));
        return json;
    }
}
