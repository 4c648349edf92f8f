package cacheproxy.routes;

import java.util.List;

/**
 * A route: which requests it takes and what becomes of them.
 *
 * @param order routes of a lower order are tried first
 * @param position its position in the configuration file
 * @param conditions what a request must meet
 * @param rewrite how the key changes before a pool gets it
 * @param placeBy what is hashed to place these requests; null: what the pool's configuration says
 * @param action what becomes of the request
 */
public record Route(
        String name,
        int order,
        int position,
        RouteConditions conditions,
        KeyRewrite rewrite,
        PlacementTemplate placeBy,
        Action action) {

    /** What becomes of a request. */
    public sealed interface Action permits ToPools, Reject, Fail {}

    /** Sends a request to the first of these pools; each next one gets what the pool before it has given up. */
    public record ToPools(List<String> pools) implements Action {}

    /**
     * Rejects a request at once.
     *
     * @param retryAfterMs when the client may retry, from now
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

    /** The key that the route's pools get; null if the rewrite makes one that servers don't take. */
    public String poolKey(RouteInput input) {
        if (input.path() == null) {
            return rewrite.apply(input.key());
        }
        String path = rewrite.apply(input.key());
        String key = path == null ? null : input.path().withPath(path);
        return key != null && KeyRewrite.isLegalKey(key) ? key : null;
    }
}
