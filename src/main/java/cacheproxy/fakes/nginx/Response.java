package cacheproxy.fakes.nginx;

/**
 * What becomes of a request.
 *
 * @param status what nginx answers by itself; 0 if it passes the request on
 * @param upstream name of the upstream, or the address itself; null if it answers by itself
 * @param server the server as it is written; null if more than the request decides, or nginx answers by itself
 * @param uri path and query that the server is asked for; null if nginx answers by itself
 */
public record Response(int status, String upstream, String server, String uri) {
    /** A response of nginx itself. */
    static Response ofStatus(int status) {
        return new Response(status, null, null, null);
    }

    /** A response of a server. */
    static Response passed(String upstream, String server, String uri) {
        return new Response(0, upstream, server, uri);
    }
}
