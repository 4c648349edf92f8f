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
 * @param pools empty where it ends the request
 * @param refuse whether it ends it with a time to come back; else as failed
 * @param placeBy null: the pool's
 */
record RouteSpec(
        String name,
        int order,
        String host,
        String exact,
        String prefix,
        Conditions when,
        List<String> pools,
        boolean refuse,
        String strip,
        String add,
        String replace,
        String placeBy,
        String comment) {

    /** As far as it matters for which requests it takes. */
    Route route(int position) {
        RouteConditions conditions = new RouteConditions(
                Set.of(),
                host,
                exact,
                prefix,
                when.patterns().stream().map(KeyPattern::new).toList(),
                Set.of(),
                Set.of(),
                when.write(),
                when.share());
        return new Route(name, order, position, conditions, KeyRewrite.NONE, null, new Route.Fail());
    }
}
