package cacheproxy.nginx.importer;

import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteConditions;
import java.util.List;
import java.util.Set;

/**
 * A route of the imported file.
 *
 * @param host name of the route's virtual host
 * @param conditions conditions in addition to the position
 * @param pools the pool, and the fallback pool if there is one; empty unless the route forwards requests
 * @param placeBy template of the text that the placement hashes; null: the pool's template
 * @param comment the directive from which the route is made and, if the route ends requests, nginx's status
 */
record RouteSpec(
        String name,
        String host,
        RoutePosition position,
        Conditions conditions,
        Outcome outcome,
        List<String> pools,
        PathRewrite rewrite,
        String placeBy,
        String comment) {
    /** What the route does with its requests. */
    enum Outcome {
        FORWARD,
        /** Requests are rejected with a time after which the client should retry. */
        REJECT,
        FAIL
    }

    /** Returns a route that matches the same requests and always fails them; used to find routes that are shadowed. */
    Route matchingRoute(int index) {
        RouteConditions routeConditions = new RouteConditions(
                Set.of(),
                host,
                position.exact(),
                position.prefix(),
                conditions.patterns().stream().map(KeyPattern::new).toList(),
                Set.of(),
                Set.of(),
                conditions.write(),
                conditions.share());
        return new Route(name, position.order(), index, routeConditions, KeyRewrite.NONE, null, new Route.Fail());
    }
}
