package cacheproxy.policy;

/** How often a request may take effect. */
public enum Idempotency {
    IDEMPOTENT,
    DEDUPLICATED,
    NON_IDEMPOTENT
}
