package cacheproxy.policy;

/** State of a listed server. */
public enum EndpointState {
    /** Removed from the list; occurs among changes only. */
    GONE,
    /** Completes the requests that it has and must get no new ones. */
    DRAINING,
    /** Takes requests. */
    READY
}
