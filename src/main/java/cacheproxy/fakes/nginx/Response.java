package cacheproxy.fakes.nginx;

/**
 * The result of interpreting a request.
 *
 * @param status the status that nginx itself returns; 0 if it passes the request on
 * @param upstream name of the upstream, or the address if no upstream is named; null if nginx itself answers
 * @param server the server as written in the configuration; null if the choice depends on more than the request, or
 *     nginx itself answers
 * @param uri path and query of the request to the server; null if nginx itself answers
 */
public record Response(int status, String upstream, String server, String uri) {
    /** Returns a response of nginx itself. */
    static Response ofStatus(int status) {
        return new Response(status, null, null, null);
    }

    /** Returns the result for a request that is passed to a server. */
    static Response passed(String upstream, String server, String uri) {
        return new Response(0, upstream, server, uri);
    }
}
