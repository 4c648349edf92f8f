package cacheproxy.policy;

/** State of a server on the list. */
public enum EndpointState {
    GONE,
    DRAINING,
    READY
}
