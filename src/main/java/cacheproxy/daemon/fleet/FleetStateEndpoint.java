package cacheproxy.daemon.fleet;

import cacheproxy.control.ControlRequestHandler;
import cacheproxy.control.ControlResponse;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.function.DoubleSupplier;

/** Handles {@code GET /fleet}: reports the peers and the state of each protocol. */
final class FleetStateEndpoint implements ControlRequestHandler {
    private static final int OK = 200;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final String ownName;
    private final FleetSocket socket;
    private final List<FleetProtocol> protocols;
    private final DoubleSupplier clock;

    FleetStateEndpoint(String ownName, FleetSocket socket, List<FleetProtocol> protocols, DoubleSupplier clock) {
        this.ownName = ownName;
        this.socket = socket;
        this.protocols = protocols;
        this.clock = clock;
    }

    @Override
    public ControlResponse handle(String method, String uri) {
        if (!method.equals("GET")) {
            return new ControlResponse(METHOD_NOT_ALLOWED, "use GET /fleet", "GET");
        }
        JsonObject state = new JsonObject();
        state.addProperty("me", ownName);
        JsonArray peers = new JsonArray();
        socket.names().forEach((id, name) -> peers.add(peerAsJson(id, name)));
        state.add("peers", peers);
        protocols.forEach(protocol -> protocol.describe(state));
        return new ControlResponse(OK, state.toString());
    }

    private JsonObject peerAsJson(long id, String name) {
        JsonObject peer = new JsonObject();
        peer.addProperty("name", name);
        double lastReceivedMs = socket.lastReceivedMs(id);
        if (lastReceivedMs > Double.NEGATIVE_INFINITY) {
            peer.addProperty("heard_ms_ago", Math.round(clock.getAsDouble() - lastReceivedMs));
        }
        return peer;
    }
}
