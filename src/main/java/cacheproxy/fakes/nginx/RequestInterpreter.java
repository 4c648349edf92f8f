package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.List;

/** Interprets a configuration for each request, phase by phase. */
public final class RequestInterpreter {
    /** Number of location changes after which nginx fails a request. */
    private static final int MAX_LOCATION_CHANGES = 10;

    private final ServerSelector servers;
    private final LocationFinder locations;
    private final RewriteInterpreter rewrites;
    private final ContentHandler contentHandler;

    /** Creates an interpreter of a configuration. */
    public RequestInterpreter(List<Directive> tree) {
        HttpBlock http = HttpBlock.of(tree);
        PatternCache patterns = new PatternCache();
        VariableExpander variables = new VariableExpander(http.directives(), patterns);
        servers = new ServerSelector(http.servers(), patterns);
        locations = new LocationFinder(patterns);
        rewrites = new RewriteInterpreter(patterns, variables);
        contentHandler = new ContentHandler(http.upstreams(), variables, rewrites);
    }

    /** Returns the first socket of the configuration. */
    public String firstSocket() {
        return servers.firstSocket();
    }

    /**
     * Interprets a request.
     *
     * @param socket the socket on which the request arrives: {@code address:port}, or {@code *:port}
     * @param requestUri path and query
     */
    public Response respond(String socket, String method, String host, String requestUri) {
        SimulatedRequest request = SimulatedRequest.of(method, host, requestUri);
        if (request == null) {
            return Response.ofStatus(400);
        }
        Directive server = servers.select(socket, request.host());
        if (server == null) {
            return Response.ofStatus(404);
        }
        rewrites.run(server.block(), request);
        request.setRewriteEnded(false);
        boolean searches = !request.isAnswered();
        for (int changes = 0; searches; changes++) {
            if (changes > MAX_LOCATION_CHANGES) {
                return Response.ofStatus(500);
            }
            searches = runLocation(server, request);
        }
        return request.response();
    }

    /** Finds the location and runs it; returns whether a location must be searched again. */
    private boolean runLocation(Directive server, SimulatedRequest request) {
        Directive location = locations.find(server.block(), request);
        if (request.isAnswered()) {
            return false;
        }
        if (!isServed(server, location, request)) {
            request.answer(404);
            return false;
        }
        if (location != null) {
            runRewrites(location, request);
            boolean pathChanged = request.isPathChangedInLocation() && !request.isRewriteEnded();
            if (pathChanged && !request.isAnswered()) {
                return true;
            }
            request.setRewriteEnded(false);
        }
        String path = contentHandler.handle(server, location == null ? server : location, request);
        if (path == null) {
            return false;
        }
        request.redirectTo(path);
        return !request.isAnswered();
    }

    private void runRewrites(Directive location, SimulatedRequest request) {
        request.enterLocation();
        request.setHandler(null);
        rewrites.run(location.block(), request);
    }

    /**
     * Returns whether a location, or the server if no location matches, accepts the request; internal locations accept
     * only internally redirected requests.
     */
    private static boolean isServed(Directive server, Directive location, SimulatedRequest request) {
        if (location == null) {
            return server.lastChildNamed("try_files") != null;
        }
        return location.lastChildNamed("internal") == null || request.isPathEverChanged();
    }
}
