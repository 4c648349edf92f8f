package cacheproxy.nginx.importer;

import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteConditions;
import java.util.List;
import java.util.Set;

/**
 * A route to be written.
 *
 * @param host name of its virtual host
 * @param conditions conditions beyond the position
 * @param pools the pool, and the one that takes what it fails to answer; empty unless it forwards requests
 * @param placeBy template of what the placement hashes; null: the pool's
 * @param comment the directive that it is made of, and the status for which it is an ending
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
    /** What becomes of its requests. */
    enum Outcome {
        FORWARD,
        /** They end with a time after which the client should retry. */
        REJECT,
        FAIL
    }

    /** The route as far as it decides which requests it takes. */
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
