package cacheproxy.control;

import cacheproxy.control.ControlEndpoints.Answer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The operators' calls for finding out what a process does: {@code GET /invariants}, {@code POST /events/on},
 * {@code POST /events/off} and {@code POST /reload}. Paths are exact; a query string is not looked at.
 *
 * @param invariants what was stopped and violated, one line
 * @param events switches the event log
 * @param reload has the configuration read again, elsewhere, as SIGHUP does; false where there is none to read
 */
public record DiagnosticEndpoints(Supplier<String> invariants, Consumer<Boolean> events, BooleanSupplier reload)
        implements ControlRequestHandler {
    /** The calls, for answers that name them. */
    public static final String NAMES = "GET /invariants, POST /events/on, POST /events/off and POST /reload";

    /** The method that a path takes; null: it is none of these calls. */
    public static String method(String path) {
        return switch (path) {
            case "/invariants" -> "GET";
            case "/events/on", "/events/off", "/reload" -> "POST";
            default -> null;
        };
    }

    @Override
    public Answer call(String method, String uri) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        String needed = method(path);
        if (needed == null) {
            return new Answer(404, "the calls are " + NAMES);
        }
        if (!needed.equals(method)) {
            return new Answer(405, "use " + needed + " " + path, needed);
        }
        return switch (path) {
            case "/invariants" -> new Answer(200, invariants.get());
            case "/reload" ->
                reload.getAsBoolean()
                        ? new Answer(202, "reading the configuration")
                        : new Answer(503, "no configuration to read");
            default -> events(path.endsWith("/on"));
        };
    }

    private Answer events(boolean on) {
        events.accept(on);
        return new Answer(200, on ? "events on" : "events off");
    }
}
