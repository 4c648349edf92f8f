package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.Position;
import cacheproxy.nginx.model.LocationSearch;
import java.util.List;
import java.util.Map;

/** Takes the routes of one virtual host, and gives them orders and names. */
final class RouteSink {
    /** Orders of a search: one for each tier, and one for requests that no location takes. */
    private static final int ORDERS_PER_SEARCH = LocationSearch.Tier.values().length + 1;

    private static final int MAX_FILE_NAME_LENGTH = 40;

    private final String host;
    private final List<RouteSpec> routes;
    /** How many routes have the same file and line, in the whole import. */
    private final Map<String, Integer> countByOrigin;

    private int nextOrder;

    RouteSink(String host, List<RouteSpec> routes, Map<String, Integer> countByOrigin) {
        this.host = host;
        this.routes = routes;
        this.countByOrigin = countByOrigin;
    }

    /** Reserves the orders of a search, and returns the first. */
    int reserveOrders() {
        int first = nextOrder;
        nextOrder += ORDERS_PER_SEARCH;
        return first;
    }

    /** The order of requests that no location takes, in a search whose first order is given. */
    static int lastOrder(int firstOrder) {
        return firstOrder + ORDERS_PER_SEARCH - 1;
    }

    /**
     * Adds a route that ends its requests.
     *
     * @param status what nginx answers, for the comment
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

    /** A route's name: the file and line that it comes from, with a number if it is not the first. */
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
