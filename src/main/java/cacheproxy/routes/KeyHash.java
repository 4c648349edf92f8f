package cacheproxy.routes;

/** Computes the 64-bit hash of a key by which a pool's policy and placement identify a request. */
@FunctionalInterface
public interface KeyHash {
    /**
     * Returns the hash for a request on this route whose pool receives this key; never 0, which stands for no key.
     *
     * @param route null if the request is on no route
     */
    long of(RouteInput input, Route route, String poolKey);
}
