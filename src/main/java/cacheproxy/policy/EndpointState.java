package cacheproxy.policy;

/** State of a listed server. */
public enum EndpointState {
    /** Removed from the list; occurs only in changes. */
    GONE,
    /** Completes its pending requests and must receive no new ones. */
    DRAINING,
    /** Accepts requests. */
    READY
}
