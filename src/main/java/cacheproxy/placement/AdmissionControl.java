package cacheproxy.placement;

import cacheproxy.policy.Endpoint;

/**
 * Limits that apply beyond one pool's routing decisions. The routing policy checks them before it sends an attempt:
 * what all pools of the process together may send to a server that is warming up, and how many retries its pool may
 * send. Times are milliseconds on the policy's clock.
 */
public interface AdmissionControl {
    /** Admits everything, so that only the policy's own limits apply. */
    AdmissionControl UNLIMITED = new AdmissionControl() {};

    /**
     * Returns whether one more request may now be sent to a server that is warming up; if so, it counts as sent.
     *
     * @param startedMs when the server started, on the policy's clock
     */
    default boolean admitWarmingUp(double nowMs, Endpoint server, double startedMs) {
        return true;
    }

    /** Takes back the last admission of {@link #admitWarmingUp}, because the request never reached the server. */
    default void returnWarmingUp(Endpoint server) {}

    /** Returns whether a client's request may now be the half-open probe of a server that was ejected. */
    default boolean admitHalfOpenProbe(double nowMs, Endpoint server) {
        return true;
    }

    /** Records that a request's first attempt is sent. */
    default void recordFirstAttempt(double nowMs) {}

    /** Returns whether a request that has had an attempt may have another one; if so, that one counts as sent. */
    default boolean admitRetry(double nowMs) {
        return true;
    }
}
