package cacheproxy.routes;

import java.util.List;

/**
 * A route: which requests it matches and what is done with them.
 *
 * @param order routes of a lower order are tried first
 * @param position its position in the configuration file
 * @param conditions the conditions that a request must meet
 * @param rewrite how the key is changed before a pool receives it
 * @param placeBy the template of the text that is hashed to place these requests; null: the one in the pool's
 *     configuration
 * @param action what is done with the request
 */
public record Route(
        String name,
        int order,
        int position,
        RouteConditions conditions,
        KeyRewrite rewrite,
        PlacementTemplate placeBy,
        Action action) {

    /** What a route does with a request. */
    public sealed interface Action permits ToPools, Reject, Fail {}

    /**
     * Sends a request to the first of these pools; each further pool gets the requests that the pool before it has
     * given up.
     */
    public record ToPools(List<String> pools) implements Action {}

    /**
     * Rejects a request at once.
     *
     * @param retryAfterMs the time from now after which the client may retry
     */
    public record Reject(double retryAfterMs) implements Action {}

    /** Fails a request at once. */
    public record Fail() implements Action {}

    /** Compares by the order in which routes are tried: order, specificity, prefix length, position in the file. */
    static int compare(Route left, Route right) {
        int byOrder = Integer.compare(left.order, right.order);
        if (byOrder != 0) {
            return byOrder;
        }
        int bySpecificity = RouteConditions.compare(left.conditions, right.conditions);
        return bySpecificity != 0 ? bySpecificity : Integer.compare(left.position, right.position);
    }

    /** Returns the key that the route's pools receive; null if the rewrite produces one that servers don't accept. */
    public String poolKey(RouteInput input) {
        if (input.path() == null) {
            return rewrite.apply(input.key());
        }
        String path = rewrite.apply(input.key());
        String key = path == null ? null : input.path().withPath(path);
        return key != null && KeyRewrite.isLegalKey(key) ? key : null;
    }
}
