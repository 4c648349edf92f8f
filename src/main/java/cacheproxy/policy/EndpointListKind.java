package cacheproxy.policy;

/** What a list event carries. {@code FAILED}: a call for the list failed, no entries. */
public enum EndpointListKind {
    FULL,
    CHANGES,
    CACHED,
    FAILED
}
