package cacheproxy.fakes;

import cacheproxy.fakes.nginx.RequestInterpreter;
import cacheproxy.fakes.nginx.Response;
import cacheproxy.nginx.Directive;
import java.util.List;

/**
 * Models what nginx does with a request, according to its public documentation (ngx_http_core, rewrite, map,
 * split_clients, proxy and upstream modules). It shares nothing with the importer but the grammar, so that each can be
 * compared with the other. All servers are assumed to be available; nothing is known of the client. Not thread-safe:
 * use it from one thread at a time.
 */
public final class NginxReferenceModel {
    /**
     * The result for a request.
     *
     * @param status the status that nginx itself returns; 0 if it passes the request on
     * @param pool name of the upstream, or the address if no upstream is named
     * @param node the server as written in the configuration; null if the balancing method depends on more than the
     *     request
     * @param uri path and query of the request to the server
     */
    public record Answer(int status, String pool, String node, String uri) {}

    private final RequestInterpreter interpreter;

    /** Creates the model of a configuration. */
    public NginxReferenceModel(List<Directive> tree) {
        interpreter = new RequestInterpreter(tree);
    }

    /** Returns the first socket of the configuration, which is the default for requests. */
    public String firstSocket() {
        return interpreter.firstSocket();
    }

    /**
     * Returns the result for a request.
     *
     * @param socket the socket on which the request arrives, such as {@code *:80}
     * @param requestUri path and query
     */
    public Answer respond(String socket, String method, String host, String requestUri) {
        Response response = interpreter.respond(socket, method, host, requestUri);
        return new Answer(response.status(), response.upstream(), response.server(), response.uri());
    }
}
