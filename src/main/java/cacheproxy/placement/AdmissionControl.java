package cacheproxy.placement;

import cacheproxy.policy.Endpoint;

/**
 * Limits that reach further than one pool's routing decisions. The routing policy asks before it sends: what all pools
 * of the process together may send to a server that is warming up, and what its pool may spend on retries. Times are
 * milliseconds on the policy's clock.
 */
public interface AdmissionControl {
    /** Admits everything, so that only the policy's own limits hold. */
    AdmissionControl UNLIMITED = new AdmissionControl() {};

    /**
     * Whether a server that is warming up may be sent one more request now; if so it counts as sent.
     *
     * @param startedMs when the server started, on the policy's clock
     */
    default boolean admitWarmingUp(double nowMs, Endpoint server, double startedMs) {
        return true;
    }

    /** Whether a client's request may now be the half-open probe of a server that was ejected. */
    default boolean admitHalfOpenProbe(double nowMs, Endpoint server) {
        return true;
    }

    /** Records that a request's first attempt is sent. */
    default void recordFirstAttempt(double nowMs) {}

    /** Whether one more attempt may be spent on a request that has had one; if so it counts as spent. */
    default boolean admitRetry(double nowMs) {
        return true;
    }
}
