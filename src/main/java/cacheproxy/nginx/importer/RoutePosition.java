package cacheproxy.nginx.importer;

/**
 * The position of a route among the routes of its host.
 *
 * @param order the route's order; routes with lower orders are tried first
 * @param exact the whole key, percent-encoded; null if the route is not for an exact key
 * @param prefix the beginning of the key, percent-encoded; null if the route is not for a prefix
 */
record RoutePosition(int order, String exact, String prefix) {
    /** Returns the position of a route for all keys. */
    static RoutePosition ofAllKeys(int order) {
        return new RoutePosition(order, null, null);
    }
}
