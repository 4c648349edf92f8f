package cacheproxy.policy;

/** The servers that drop a repeat of a keyed request: all, those of one zone, or those of one cell. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
