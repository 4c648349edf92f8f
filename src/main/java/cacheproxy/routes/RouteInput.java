package cacheproxy.routes;

/**
 * What routes look at: a request as its listener had it. Class and tenant are indexes in the file's order.
 *
 * @param text the key as sent
 * @param sent its parts where keys are paths; null where they are plain texts
 */
public record RouteInput(String listener, String text, PathKey sent, int serviceClass, int tenant, boolean write) {
    /** One whose key is a plain text. */
    public RouteInput(String listener, String key, int serviceClass, int tenant, boolean write) {
        this(listener, key, null, serviceClass, tenant, write);
    }

    /** What exact keys, prefixes and patterns are held against: the normalised path, or the whole text. */
    public String key() {
        return sent == null ? text : sent.path();
    }

    /** The host; empty where none is told. */
    public String host() {
        return sent == null ? "" : sent.host();
    }
}
