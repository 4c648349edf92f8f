package cacheproxy.routes;

import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;

/**
 * Decides whether a request that one pool has given up may be sent to the next pool, and for how long. Within a pool,
 * the routing policy ensures that a request has no more effects than its class allows; these rules ensure the same
 * across pools.
 */
public final class FallbackRules {
    /** Fraction of an idempotent request's remaining time that a pool may use if another pool follows. */
    private static final double SHARE_BEFORE_NEXT_POOL = 0.5;

    private FallbackRules() {}

    /**
     * Returns whether a request may be sent to the next pool.
     *
     * @param mayHaveRun whether any attempt so far may have been executed or may still be executed
     * @param dedupGroup the deduplication group, which drops repeats of keyed requests, of all pools that had the
     *     request; null if they have none or different ones
     * @param nextDedupGroup the deduplication group of the next pool; null if it has none
     * @param arrivedMs when the request arrived; no attempt can have been sent earlier
     */
    public static boolean mayTryNextPool(
            ServiceClass serviceClass,
            boolean mayHaveRun,
            String dedupGroup,
            String nextDedupGroup,
            double nowMs,
            double arrivedMs) {
        if (serviceClass.idempotency() == Idempotency.IDEMPOTENT || !mayHaveRun) {
            return true;
        }
        return serviceClass.idempotency() == Idempotency.DEDUPLICATED
                && dedupGroup != null
                && dedupGroup.equals(nextDedupGroup)
                && nowMs < arrivedMs + serviceClass.deduplicationWindowMs();
    }

    /**
     * Returns the deadline until which a pool may work on a request. An idempotent request must leave time for the next
     * pool. A request that may not be sent twice gains nothing from an earlier deadline, because no other pool could
     * take it. A keyed request that may have been executed elsewhere must be sent within the time in which its repeats
     * are dropped.
     *
     * @param isLastPool whether no other pool follows
     * @param clientDeadlineMs the time at which the client gives up
     */
    public static double deadlineMs(
            ServiceClass serviceClass,
            boolean mayHaveRun,
            boolean isLastPool,
            double nowMs,
            double arrivedMs,
            double clientDeadlineMs) {
        if (serviceClass.idempotency() == Idempotency.IDEMPOTENT && !isLastPool) {
            return nowMs + (clientDeadlineMs - nowMs) * SHARE_BEFORE_NEXT_POOL;
        }
        if (serviceClass.idempotency() == Idempotency.DEDUPLICATED && mayHaveRun) {
            return Math.min(clientDeadlineMs, arrivedMs + serviceClass.deduplicationWindowMs());
        }
        return clientDeadlineMs;
    }

    /**
     * Returns whether the client may get the answer that its request was rejected, after which a retry must be
     * harmless.
     */
    public static boolean mayReject(ServiceClass serviceClass, boolean mayHaveRun) {
        return serviceClass.idempotency() == Idempotency.IDEMPOTENT || !mayHaveRun;
    }
}
