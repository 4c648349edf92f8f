package cacheproxy.routes;

/**
 * A request as routes see it.
 *
 * @param listener name of the listener that received it
 * @param rawKey the key as it was sent
 * @param path the parts of the key where keys are paths; null where they are plain texts
 * @param serviceClass index of the service class, in the configuration's order
 * @param tenant index of the tenant, in the configuration's order
 * @param write whether it is a write
 */
public record RouteInput(String listener, String rawKey, PathKey path, int serviceClass, int tenant, boolean write) {
    /** A request whose key is a plain text. */
    public RouteInput(String listener, String key, int serviceClass, int tenant, boolean write) {
        this(listener, key, null, serviceClass, tenant, write);
    }

    /** What exact keys, prefixes and patterns are compared with: the normalized path, or the whole text. */
    public String key() {
        return path == null ? rawKey : path.path();
    }

    /** The host of the key; empty where it has none. */
    public String host() {
        return path == null ? "" : path.host();
    }
}
