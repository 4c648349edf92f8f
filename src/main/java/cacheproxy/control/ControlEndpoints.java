package cacheproxy.control;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The endpoints of a single-pool proxy: {@code GET /status}, {@code POST /standby}, {@code POST /active} and those of
 * {@link DiagnosticEndpoints}. Paths match exactly; query strings are ignored.
 *
 * @param acceptsClients whether this process accepts clients now
 * @param stateText the state of this process in one word
 * @param enterStandby enters standby, in which client connections are drained; returns false if the process is shutting
 *     down
 * @param leaveStandby returns from standby to accepting clients; returns false if the process is shutting down
 * @param diagnostics handles the diagnostic endpoints
 */
public record ControlEndpoints(
        BooleanSupplier acceptsClients,
        Supplier<String> stateText,
        BooleanSupplier enterStandby,
        BooleanSupplier leaveStandby,
        DiagnosticEndpoints diagnostics)
        implements ControlRequestHandler {

    @Override
    public ControlResponse handle(String method, String uri) {
        String path = ControlRequestHandler.path(uri);
        if (DiagnosticEndpoints.requiredMethod(path) != null) {
            return diagnostics.handle(method, uri);
        }
        return switch (path) {
            case "/status" -> handle("GET", method, path, acceptsClients);
            case "/standby" -> handle("POST", method, path, enterStandby);
            case "/active" -> handle("POST", method, path, leaveStandby);
            default ->
                new ControlResponse(
                        404,
                        "the calls are GET /status, POST /standby, POST /active, " + DiagnosticEndpoints.REQUEST_LIST);
        };
    }

    private ControlResponse handle(String requiredMethod, String method, String path, BooleanSupplier action) {
        if (!requiredMethod.equals(method)) {
            return ControlResponse.methodNotAllowed(path, requiredMethod);
        }
        int status = action.getAsBoolean() ? 200 : 503;
        return new ControlResponse(status, stateText.get());
    }
}
