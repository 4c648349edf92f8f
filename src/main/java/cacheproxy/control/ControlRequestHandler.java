package cacheproxy.control;

/** Carries out the requests of the control address. Called on the server's event loop, so it must not block. */
public interface ControlRequestHandler {
    /**
     * Carries out a request.
     *
     * @param method HTTP method, as it was sent
     * @param uri request target, with its query string if it has one
     */
    ControlResponse handle(String method, String uri);

    /** The path of a request target, without its query string. */
    static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
