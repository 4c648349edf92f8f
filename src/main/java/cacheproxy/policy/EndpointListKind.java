package cacheproxy.policy;

/** The content of an endpoint list event. */
public enum EndpointListKind {
    /** The whole list. */
    FULL,
    /** The entries that have changed. */
    CHANGES,
    /** The whole list as the proxy last received it, which may be stale; the first list of a policy. */
    CACHED,
    /** No list, because a call to discovery or the subscription has failed. */
    FAILED
}
