package cacheproxy.nginx.importer;

/**
 * Where a route stands among those of its host.
 *
 * @param order lower orders are tried first
 * @param exact the whole key, percent-encoded; null for other routes
 * @param prefix the beginning of the key, percent-encoded; null for other routes
 */
record RoutePosition(int order, String exact, String prefix) {
    /** The position of a route for all keys. */
    static RoutePosition ofAllKeys(int order) {
        return new RoutePosition(order, null, null);
    }
}
