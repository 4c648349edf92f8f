package cacheproxy.routes;

/** A share of all requests, always the same ones. */
public sealed interface TrafficShare permits KeyShare, SplitShare {
    boolean has(RouteInput s);

    /** Whether it has all that the other has; true only where that is certain. */
    boolean covers(TrafficShare other);

    /** In words, why it does not have a request. */
    String without(RouteInput s);
}
