package cacheproxy.routes;

/** How the keys of an installation are read. */
public enum KeyFormat {
    /** Plain texts. */
    TEXT,
    /** Paths, perhaps after a host; a query is dropped. */
    PATH,
    /** Paths with their queries: routes don't see the query, servers do. */
    PATH_AND_QUERY;

    /** The request as routes see it; null if its key is not a path where it has to be one. */
    public RouteInput parse(String listener, String key, int serviceClass, int tenant, boolean write) {
        if (this == TEXT) {
            return new RouteInput(listener, key, serviceClass, tenant, write);
        }
        PathKey path = PathKey.parse(key);
        if (path == null) {
            return null;
        }
        if (this == PATH && path.query() != null) {
            path = new PathKey(path.host(), path.rawPath(), path.path(), null);
        }
        return new RouteInput(listener, key, path, serviceClass, tenant, write);
    }
}
