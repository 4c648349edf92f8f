package cacheproxy.control;

/** Handles the requests of the control address. Called on the server's event loop, so it must not block. */
public interface ControlRequestHandler {
    /**
     * Handles a request.
     *
     * @param method HTTP method, as it was sent
     * @param uri request target, with its query string if it has one
     */
    ControlResponse handle(String method, String uri);

    /** Returns the path of a request target, without its query string. */
    static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
