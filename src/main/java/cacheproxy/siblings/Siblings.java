package cacheproxy.siblings;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.Endpoint;

/**
 * The siblings of one pool as the routing policy sees them: which endpoints are siblings, whether querying them is
 * worth the wait, and how fetches from them ended. Called on the event loop of the policy.
 */
public interface Siblings {
    /** A pool without siblings. */
    Siblings NONE = new Siblings() {
        @Override
        public boolean isSibling(Endpoint endpoint) {
            return false;
        }

        @Override
        public double waitMs(double nowMs, double originFetchMs, double remainingMs, double originPressure) {
            return 0;
        }

        @Override
        public void recordFetch(double nowMs, int siblingId, AttemptOutcome outcome, double elapsedMs) {}
    };

    /** Returns whether this endpoint is a sibling; keys are never placed on siblings. */
    boolean isSibling(Endpoint endpoint);

    /**
     * Returns how long to wait for siblings' replies about one key, in milliseconds; 0 if they are not to be queried.
     *
     * @param originFetchMs how long a fetch from the origin usually takes
     * @param remainingMs the remaining time of the request's latency objective
     * @param originPressure the number of requests sent to the origin for each one that it answers in time, at least 1
     */
    double waitMs(double nowMs, double originFetchMs, double remainingMs, double originPressure);

    /** Records how a fetch from a sibling that had reported a hit ended. */
    void recordFetch(double nowMs, int siblingId, AttemptOutcome outcome, double elapsedMs);
}
