package cacheproxy.routes;

/**
 * The attributes of a request that routes match.
 *
 * @param listener name of the listener that received it
 * @param rawKey the key as it was sent
 * @param path the parsed key if keys are paths; null if they are plain text
 * @param serviceClass index of the service class, in the configuration's order
 * @param tenant index of the tenant, in the configuration's order
 * @param write whether the request is a write
 */
public record RouteInput(String listener, String rawKey, PathKey path, int serviceClass, int tenant, boolean write) {
    /** Creates the attributes of a request whose key is plain text. */
    public RouteInput(String listener, String key, int serviceClass, int tenant, boolean write) {
        this(listener, key, null, serviceClass, tenant, write);
    }

    /**
     * Returns the text that exact keys, prefixes and patterns are compared with: the normalized path, or the whole key.
     */
    public String key() {
        return path == null ? rawKey : path.path();
    }

    /** Returns the host of the key; empty if it has none. */
    public String host() {
        return path == null ? "" : path.host();
    }
}
