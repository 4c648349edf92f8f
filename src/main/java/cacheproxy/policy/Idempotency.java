package cacheproxy.policy;

/** How often a request may take effect. */
public enum Idempotency {
    SAFE,
    KEYED,
    UNSAFE
}
