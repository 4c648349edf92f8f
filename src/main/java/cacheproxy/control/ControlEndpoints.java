package cacheproxy.control;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The operators' calls and what each answers, apart from how they come. Paths are exact; a query string is not looked
 * at.
 *
 * @param takesClients whether this process takes clients now
 * @param state its state in a word
 * @param standby sends clients away; false where that can't be had
 * @param active takes clients again; false where that can't be had
 * @param diagnostics what answers the calls of {@link DiagnosticEndpoints}
 */
public record ControlEndpoints(
        BooleanSupplier takesClients,
        Supplier<String> state,
        BooleanSupplier standby,
        BooleanSupplier active,
        DiagnosticEndpoints diagnostics)
        implements ControlRequestHandler {

    /**
     * An answer: 2xx is yes, 4xx and 5xx no.
     *
     * @param text one line of ASCII without its end
     * @param allow the method to use instead, or null
     */
    public record Answer(int code, String text, String allow) {
        public Answer(int code, String text) {
            this(code, text, null);
        }
    }

    @Override
    public Answer call(String method, String uri) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        if (DiagnosticEndpoints.method(path) != null) {
            return diagnostics.call(method, uri);
        }
        String needed = switch (path) {
            case "/status" -> "GET";
            case "/standby", "/active" -> "POST";
            default -> null;
        };
        if (needed == null) {
            return new Answer(
                    404, "the calls are GET /status, POST /standby, POST /active, " + DiagnosticEndpoints.NAMES);
        }
        if (!needed.equals(method)) {
            return new Answer(405, "use " + needed + " " + path, needed);
        }
        boolean yes = switch (path) {
            case "/status" -> takesClients.getAsBoolean();
            case "/standby" -> standby.getAsBoolean();
            default -> active.getAsBoolean();
        };
        return yes ? new Answer(200, state.get()) : new Answer(503, state.get());
    }
}
