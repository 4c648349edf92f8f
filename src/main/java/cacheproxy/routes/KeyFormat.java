package cacheproxy.routes;

/** How the keys of an installation are parsed. */
public enum KeyFormat {
    /** Plain text. */
    TEXT,
    /** Paths, optionally preceded by a host; a query is dropped. */
    PATH,
    /** Paths with their queries: routes don't see the query, servers receive it. */
    PATH_AND_QUERY;

    /** Returns the attributes of a request that routes match; null if its key must be a path and is not a valid one. */
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
