package cacheproxy.policy;

/** Whether a request may be sent again after an attempt that may have taken effect. */
public enum Idempotency {
    /** It may be sent again: taking effect twice is the same as once. */
    IDEMPOTENT,
    /**
     * It may be sent again within a time window and a scope of servers that recognize duplicates by the request's
     * idempotency key.
     */
    DEDUPLICATED,
    /** It must not be sent again. */
    NON_IDEMPOTENT
}
