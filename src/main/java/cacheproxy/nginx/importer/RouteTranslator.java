package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.HttpModel;
import cacheproxy.nginx.model.Location;
import cacheproxy.nginx.model.LocationSearch;
import cacheproxy.nginx.model.ServerBlock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Translates servers to routes, phase by phase as nginx processes requests: the server's rewrite directives, the search
 * for a location, that location's rewrite directives, and its content handler.
 */
final class RouteTranslator {
    private final HttpModel model;
    private final ExpressionResolver resolver;
    private final PoolTranslator pools;
    private final Report report;
    private final List<RouteSpec> routes;
    private final LocationPatterns patterns;
    private final Map<String, Integer> routeCountByOrigin = new HashMap<>();

    /**
     * Creates a translator.
     *
     * @param routes the list to which all routes are added, in the order of the file
     */
    RouteTranslator(
            HttpModel model, ExpressionResolver resolver, PoolTranslator pools, Report report, List<RouteSpec> routes) {
        this.model = model;
        this.resolver = resolver;
        this.pools = pools;
        this.report = report;
        this.routes = routes;
        patterns = new LocationPatterns(report);
    }

    /**
     * Translates a server's requests.
     *
     * @param hostName name of the virtual host to which the routes belong
     * @param host the only host of the requests; null: any host except those that are known by name
     */
    void translate(ServerBlock server, String hostName, String host) {
        report.carried(server.directive());
        LocationSearch search = new LocationSearch(server.locations(), RouteTranslator::passesRequests);
        for (Location unreachable : search.unreachable()) {
            report.add(
                    unreachable.directive(),
                    Report.Level.LEFT,
                    "a longer prefix outside its enclosing location takes all of its requests, in nginx too");
        }
        ServerContext context = new ServerContext(
                server,
                host,
                search,
                patterns,
                errorPages(server),
                resolver,
                pools,
                new RouteSink(hostName, routes, routeCountByOrigin),
                report);
        new RewritePhase(context).run(ServerContext.rewriteDirectives(server.directive()), RequestState.START);
    }

    private static boolean passesRequests(Location location) {
        return location.directive().lastChildNamed("proxy_pass") != null
                || location.directive().lastChildNamed("memcached_pass") != null;
    }

    private List<Directive> errorPages(ServerBlock server) {
        List<Directive> own = server.directive().childrenNamed("error_page");
        return own.isEmpty()
                ? model.http().stream()
                        .filter(directive -> directive.name().equals("error_page"))
                        .toList()
                : own;
    }
}
