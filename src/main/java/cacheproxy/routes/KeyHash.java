package cacheproxy.routes;

/** The 64-bit key by which a pool's module and placement know a request. */
public interface KeyHash {
    /** For a request on this route whose pool gets this key; any value but 0, which would mean none. */
    long of(RouteInput s, Route r, String poolKey);
}
