package cacheproxy.nginx.importer;

/**
 * How a path is forwarded to a pool.
 *
 * @param when the route's conditions; the pattern whose groups the rewrite uses is the first
 */
record ForwardedPath(PathRewrite rewrite, Conditions when) {
    /** The path as it came in. */
    static ForwardedPath unchanged(Conditions when) {
        return new ForwardedPath(PathRewrite.NONE, when);
    }
}
