package cacheproxy.routes;

/** What an installation's keys are. */
public enum KeyFormat {
    /** Plain texts. */
    TEXT,
    /** Paths, perhaps behind a host; a query is dropped. */
    PATH,
    /** Paths with their queries: routes don't see them, servers do. */
    PATH_AND_QUERY;

    /** The request as routes see it; null if its key is no path where it must be one. */
    public RouteInput subject(String listener, String key, int serviceClass, int tenant, boolean write) {
        if (this == TEXT) {
            return new RouteInput(listener, key, serviceClass, tenant, write);
        }
        PathKey p = PathKey.of(key);
        if (p != null && this == PATH && p.query() != null) {
            p = new PathKey(p.host(), p.raw(), p.path(), null);
        }
        return p == null ? null : new RouteInput(listener, key, p, serviceClass, tenant, write);
    }
}
