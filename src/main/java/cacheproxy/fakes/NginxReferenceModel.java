package cacheproxy.fakes;

import cacheproxy.fakes.nginx.RequestInterpreter;
import cacheproxy.fakes.nginx.Response;
import cacheproxy.nginx.Directive;
import java.util.List;

/**
 * What nginx would do with a request, by its public documentation (ngx_http_core, rewrite, map, split_clients, proxy
 * and upstream modules). It shares nothing with the importer but the grammar, so that each can be compared with the
 * other. Servers are taken to be well, and clients to be unknown. Confined to one thread at a time.
 */
public final class NginxReferenceModel {
    /**
     * What becomes of a request.
     *
     * @param status what nginx answers by itself; 0 if it passes the request on
     * @param pool name of the upstream, or the address itself
     * @param node the server as it is written; null if the method does not choose by the request alone
     * @param uri path and query that the server is asked for
     */
    public record Answer(int status, String pool, String node, String uri) {}

    private final RequestInterpreter interpreter;

    /** Creates the model of a configuration. */
    public NginxReferenceModel(List<Directive> tree) {
        interpreter = new RequestInterpreter(tree);
    }

    /** The first socket of the configuration; requests come in there unless they say otherwise. */
    public String firstSocket() {
        return interpreter.firstSocket();
    }

    /**
     * What becomes of a request.
     *
     * @param socket where it comes in, such as {@code *:80}
     * @param requestUri path and query
     */
    public Answer respond(String socket, String method, String host, String requestUri) {
        Response response = interpreter.respond(socket, method, host, requestUri);
        return new Answer(response.status(), response.upstream(), response.server(), response.uri());
    }
}
