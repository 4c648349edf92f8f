package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;
import java.util.HashMap;
import java.util.Map;

/**
 * How far nginx has come with a request.
 *
 * @param position the position of its route; null: not known yet
 * @param conditions what is required of the request beyond the position
 * @param rewritten its new path; null: the path as it came in
 * @param variables values given by {@code set}
 * @param location where it is; null: at the server's level
 * @param captures the pattern whose groups {@code $1} and so on mean; null: none
 * @param handler what an {@code if} has put in place of the location's own {@code proxy_pass}; null: nothing
 * @param locationChanges number of locations that it was redirected to
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
    /** nginx fails a request after so many changes of its location. */
    static final int MAX_LOCATION_CHANGES = 10;

    /** Any request of a server, as it came in. */
    static final RequestState START = new RequestState(null, Conditions.NONE, null, Map.of(), null, null, null, 0);

    /** With other conditions. */
    RequestState withConditions(Conditions newConditions) {
        return new RequestState(
                position, newConditions, rewritten, variables, location, captures, handler, locationChanges);
    }

    /** With a value of a variable. */
    RequestState withVariable(String name, Expression value) {
        Map<String, Expression> newVariables = new HashMap<>(variables);
        newVariables.put(name, value);
        return new RequestState(
                position, conditions, rewritten, newVariables, location, captures, handler, locationChanges);
    }

    /** With the groups of a pattern that has matched. */
    RequestState withCaptures(String pattern) {
        return new RequestState(
                position, conditions, rewritten, variables, location, pattern, handler, locationChanges);
    }

    /** With the {@code proxy_pass} of an {@code if}. */
    RequestState withHandler(Directive newHandler) {
        return new RequestState(
                position, conditions, rewritten, variables, location, captures, newHandler, locationChanges);
    }

    /** With a new path. */
    RequestState withRewritten(RewrittenPath newPath) {
        return new RequestState(position, conditions, newPath, variables, location, captures, handler, locationChanges);
    }

    /** The request at the server's level, with a position. */
    RequestState atServerLevel(RoutePosition newPosition) {
        return new RequestState(newPosition, conditions, rewritten, variables, null, captures, null, locationChanges);
    }

    /** The request in the location that its first search has found. */
    RequestState inFoundLocation(
            Location newLocation, RoutePosition newPosition, Conditions newConditions, String pattern) {
        return new RequestState(
                newPosition, newConditions, rewritten, variables, newLocation, pattern, null, locationChanges);
    }

    /** The request in a location that it was redirected to. */
    RequestState redirectedTo(Location newLocation, String pattern) {
        return new RequestState(
                position, conditions, rewritten, variables, newLocation, pattern, null, locationChanges + 1);
    }

    /** Whether nginx would fail the request at the next change of its location. */
    boolean isAtLocationChangeLimit() {
        return locationChanges >= MAX_LOCATION_CHANGES;
    }
}
