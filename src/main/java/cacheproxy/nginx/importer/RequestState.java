package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;
import java.util.HashMap;
import java.util.Map;

/**
 * The state of a request in nginx's processing phases.
 *
 * @param position the position of its route; null: not known yet
 * @param conditions what is required of the request in addition to the position
 * @param rewritten the rewritten path; null: the path is unchanged
 * @param variables values of variables that {@code set} has assigned
 * @param location the request's current location; null: at the server's level
 * @param captures the pattern to whose groups {@code $1} and so on refer; null: none
 * @param handler the {@code proxy_pass} or {@code memcached_pass} of an {@code if}, which replaces the location's own;
 *     null: none
 * @param locationChanges how often the request was redirected to another location
 */
record RequestState(
        RoutePosition position,
        Conditions conditions,
        RewrittenPath rewritten,
        Map<String, Expression> variables,
        Location location,
        String captures,
        Directive handler,
        int locationChanges) {
    /** The number of location changes after which nginx fails a request. */
    static final int MAX_LOCATION_CHANGES = 10;

    /** The initial state of any request to a server. */
    static final RequestState START = new RequestState(null, Conditions.NONE, null, Map.of(), null, null, null, 0);

    /** Returns this state with other conditions. */
    RequestState withConditions(Conditions newConditions) {
        return new RequestState(
                position, newConditions, rewritten, variables, location, captures, handler, locationChanges);
    }

    /** Returns this state with a variable set to a value. */
    RequestState withVariable(String name, Expression value) {
        Map<String, Expression> newVariables = new HashMap<>(variables);
        newVariables.put(name, value);
        return new RequestState(
                position, conditions, rewritten, newVariables, location, captures, handler, locationChanges);
    }

    /** Returns this state with the groups of a pattern that has matched. */
    RequestState withCaptures(String pattern) {
        return new RequestState(
                position, conditions, rewritten, variables, location, pattern, handler, locationChanges);
    }

    /** Returns this state with the {@code proxy_pass} or {@code memcached_pass} of an {@code if}. */
    RequestState withHandler(Directive newHandler) {
        return new RequestState(
                position, conditions, rewritten, variables, location, captures, newHandler, locationChanges);
    }

    /** Returns this state with a rewritten path. */
    RequestState withRewritten(RewrittenPath newPath) {
        return new RequestState(position, conditions, newPath, variables, location, captures, handler, locationChanges);
    }

    /** Returns the state of the request at the server's level, with a position. */
    RequestState atServerLevel(RoutePosition newPosition) {
        return new RequestState(newPosition, conditions, rewritten, variables, null, captures, null, locationChanges);
    }

    /** Returns the state of the request in the location that its first search has found. */
    RequestState inFoundLocation(
            Location newLocation, RoutePosition newPosition, Conditions newConditions, String pattern) {
        return new RequestState(
                newPosition, newConditions, rewritten, variables, newLocation, pattern, null, locationChanges);
    }

    /** Returns the state of the request in a location to which it was redirected. */
    RequestState redirectedTo(Location newLocation, String pattern) {
        return new RequestState(
                position, conditions, rewritten, variables, newLocation, pattern, null, locationChanges + 1);
    }

    /** Whether nginx would fail the request at the next location change. */
    boolean isAtLocationChangeLimit() {
        return locationChanges >= MAX_LOCATION_CHANGES;
    }
}
