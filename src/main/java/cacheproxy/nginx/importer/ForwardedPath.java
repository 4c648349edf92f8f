package cacheproxy.nginx.importer;

/**
 * How a path is forwarded to a pool.
 *
 * @param conditions the route's conditions; the pattern whose groups the rewrite uses is the first
 */
record ForwardedPath(PathRewrite rewrite, Conditions conditions) {
    /** The path as it came in. */
    static ForwardedPath unchanged(Conditions conditions) {
        return new ForwardedPath(PathRewrite.NONE, conditions);
    }
}
