package cacheproxy.control;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The diagnostic endpoints: {@code GET /invariants}, {@code GET /memory}, {@code GET /load}, {@code GET /slow-start},
 * {@code POST /events/on}, {@code POST /events/off} and {@code POST /reload}. Paths match exactly; query strings are
 * ignored.
 *
 * @param invariants returns the counts of prevented actions and of violations, in one line
 * @param memory returns the memory that is held for clients, in a line for each purpose
 * @param load returns how busy the event loop is and which clients cause that, in several lines
 * @param slowStart returns the servers in their slow start, in several lines
 * @param events enables or disables the event log
 * @param reload starts a reload of the configuration on another thread, as SIGHUP does; returns false if there is no
 *     configuration file
 */
public record DiagnosticEndpoints(
        Supplier<String> invariants,
        Supplier<String> memory,
        Supplier<String> load,
        Supplier<String> slowStart,
        Consumer<Boolean> events,
        BooleanSupplier reload)
        implements ControlRequestHandler {
    /** The supported requests, for responses that list them. */
    public static final String REQUEST_LIST =
            "GET /invariants, GET /memory, GET /load, GET /slow-start, POST /events/on, POST /events/off and POST /reload";

    /** Returns the HTTP method that a path requires; null if it is not a diagnostic endpoint. */
    public static String requiredMethod(String path) {
        return switch (path) {
            case "/invariants", "/memory", "/load", "/slow-start" -> "GET";
            case "/events/on", "/events/off", "/reload" -> "POST";
            default -> null;
        };
    }

    @Override
    public ControlResponse handle(String method, String uri) {
        String path = ControlRequestHandler.path(uri);
        String requiredMethod = requiredMethod(path);
        if (requiredMethod == null) {
            return new ControlResponse(404, "the calls are " + REQUEST_LIST);
        }
        if (!requiredMethod.equals(method)) {
            return ControlResponse.methodNotAllowed(path, requiredMethod);
        }
        return switch (path) {
            case "/invariants" -> new ControlResponse(200, invariants.get());
            case "/memory" -> new ControlResponse(200, memory.get());
            case "/load" -> new ControlResponse(200, load.get());
            case "/slow-start" -> new ControlResponse(200, slowStart.get());
            case "/reload" ->
                reload.getAsBoolean()
                        ? new ControlResponse(202, "reading the configuration")
                        : new ControlResponse(503, "no configuration to read");
            default -> switchEvents(path.endsWith("/on"));
        };
    }

    private ControlResponse switchEvents(boolean enabled) {
        events.accept(enabled);
        return new ControlResponse(200, enabled ? "events on" : "events off");
    }
}
