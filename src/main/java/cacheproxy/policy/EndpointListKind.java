package cacheproxy.policy;

/** What an endpoint list event carries. */
public enum EndpointListKind {
    /** The whole list. */
    FULL,
    /** The entries that have changed. */
    CHANGES,
    /** The whole list as the proxy last had it, which may be stale; a policy's first. */
    CACHED,
    /** Nothing: a call to discovery or the subscription has failed. */
    FAILED
}
