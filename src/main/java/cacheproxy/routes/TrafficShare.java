package cacheproxy.routes;

/** A fixed share of all requests, chosen by a hash of the request. */
public sealed interface TrafficShare permits KeyShare, SplitShare {
    /** Returns whether a request belongs to the share. */
    boolean contains(RouteInput input);

    /** Returns whether all requests of the other share belong to this one; true only if that is certain. */
    boolean covers(TrafficShare other);

    /** Describes why a request does not belong to the share. */
    String mismatch(RouteInput input);
}
