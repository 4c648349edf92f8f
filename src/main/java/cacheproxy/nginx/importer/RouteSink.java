package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.Position;
import cacheproxy.nginx.model.LocationSearch;
import java.util.List;
import java.util.Map;

/** Collects the routes of one virtual host, and assigns their orders and names. */
final class RouteSink {
    /** The number of orders of a search: one for each tier, and one for requests that no location takes. */
    private static final int ORDERS_PER_SEARCH = LocationSearch.Tier.values().length + 1;

    private static final int MAX_FILE_NAME_LENGTH = 40;

    private final String host;
    private final List<RouteSpec> routes;
    /** The number of routes with the same file and line, in the whole import. */
    private final Map<String, Integer> countByOrigin;

    private int nextOrder;

    RouteSink(String host, List<RouteSpec> routes, Map<String, Integer> countByOrigin) {
        this.host = host;
        this.routes = routes;
        this.countByOrigin = countByOrigin;
    }

    /** Reserves the orders of a search, and returns the first one. */
    int reserveOrders() {
        int first = nextOrder;
        nextOrder += ORDERS_PER_SEARCH;
        return first;
    }

    /** Returns the order of the route for requests that no location takes, given the first order of the search. */
    static int lastOrder(int firstOrder) {
        return firstOrder + ORDERS_PER_SEARCH - 1;
    }

    /**
     * Adds a route that rejects or fails its requests.
     *
     * @param status the status with which nginx answers, for the comment
     */
    void addTerminal(RequestState state, Directive directive, RouteSpec.Outcome outcome, String status) {
        RoutePosition position = state.position() == null ? RoutePosition.ofAllKeys(reserveOrders()) : state.position();
        Directive origin =
                state.location() == null ? directive : state.location().directive();
        routes.add(new RouteSpec(
                name(directive),
                host,
                position,
                state.conditions(),
                outcome,
                List.of(),
                PathRewrite.NONE,
                null,
                origin + " -> " + status));
    }

    /** Adds a route that fails its requests. */
    void addFailing(RequestState state, Directive directive, String status) {
        addTerminal(state, directive, RouteSpec.Outcome.FAIL, status);
    }

    /** Adds a route that forwards its requests. */
    void addForwarding(
            RequestState state, Directive directive, ForwardedPath path, List<String> pools, String placeBy) {
        routes.add(new RouteSpec(
                name(directive),
                host,
                state.position(),
                path.conditions(),
                RouteSpec.Outcome.FORWARD,
                pools,
                path.rewrite(),
                placeBy,
                state.location().directive().toString()));
    }

    /**
     * Returns a route's name: the file and line that it comes from, with a number if it is not the first from there.
     */
    private String name(Directive directive) {
        Position position = directive.position();
        String file =
                position.file().substring(position.file().lastIndexOf('/') + 1).replaceAll("[^A-Za-z0-9._-]", "_");
        String fileSuffix = file.substring(Math.max(0, file.length() - MAX_FILE_NAME_LENGTH));
        String origin = fileSuffix + ":" + position.line();
        int count = countByOrigin.merge(origin, 1, Integer::sum);
        return count == 1 ? origin : origin + "." + count;
    }
}
