package cacheproxy.nginx.importer;

/**
 * How a path is forwarded to a pool.
 *
 * @param conditions the route's conditions; the first pattern is the one whose groups the rewrite uses
 */
record ForwardedPath(PathRewrite rewrite, Conditions conditions) {
    /** Returns a result that forwards the path unchanged. */
    static ForwardedPath unchanged(Conditions conditions) {
        return new ForwardedPath(PathRewrite.NONE, conditions);
    }
}
