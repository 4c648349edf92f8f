package cacheproxy.policy;

/** The servers that recognize a duplicate of a request by its idempotency key. */
public enum DeduplicationScope {
    /** All servers of the pool. */
    ALL,
    /** The servers in the zone of the server that received the request first. */
    ZONE,
    /** The servers in the cell of the server that received the request first. */
    CELL
}
