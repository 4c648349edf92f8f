package cacheproxy.placement;

import cacheproxy.policy.PolicyApi.Member;

/**
 * Bounds that reach further than one pool, asked by the module before it sends: what cold servers are given by all
 * pools of a process together, and what its pool spends on retries. Calls come at the module's clock, in milliseconds.
 */
public interface AdmissionControl {
    /** No bounds but the module's own. */
    AdmissionControl UNLIMITED = new AdmissionControl() {};

    /**
     * Whether a server that is cold may be sent one more request now; if so it counts as sent.
     *
     * @param startedMs when it started, on the module's clock
     */
    default boolean admitWarmingUp(double nowMs, Member server, double startedMs) {
        return true;
    }

    /** Whether a client's request may now be the trial of a server that seemed sick. */
    default boolean admitHalfOpenProbe(double nowMs, Member server) {
        return true;
    }

    /** A request's first attempt goes out. */
    default void recordFirstAttempt(double nowMs) {}

    /** Whether one more attempt may be spent on a request that has had one; if so it counts as spent. */
    default boolean admitRetry(double nowMs) {
        return true;
    }
}
