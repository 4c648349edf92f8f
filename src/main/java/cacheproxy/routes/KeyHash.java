package cacheproxy.routes;

/** Computes the 64-bit hash of a key by which a pool's policy and placement know a request. */
@FunctionalInterface
public interface KeyHash {
    /**
     * The hash for a request on this route whose pool gets this key; never 0, which stands for no key.
     *
     * @param route null where the request is on no route
     */
    long of(RouteInput input, Route route, String poolKey);
}
