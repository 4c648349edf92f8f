package cacheproxy.policy;

/** Whether a request may be sent again after an attempt that may have taken effect. */
public enum Idempotency {
    /** It may: taking effect twice is the same as once. */
    IDEMPOTENT,
    /** It may within a time and a scope of servers, which recognize repetitions by the request's idempotency key. */
    DEDUPLICATED,
    /** It must not. */
    NON_IDEMPOTENT
}
