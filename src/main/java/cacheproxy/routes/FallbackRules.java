package cacheproxy.routes;

import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;

/**
 * Decides what becomes of a request that one pool has given up. Within a pool the routing policy makes sure that a
 * request has no more effects than its class allows; these rules do so from pool to pool.
 */
public final class FallbackRules {
    /** The share of a safe request's remaining time that a pool gets where another one follows. */
    private static final double SHARE_BEFORE_NEXT_POOL = 0.5;

    private FallbackRules() {}

    /**
     * Whether a request may go on to another pool.
     *
     * @param mayHaveRun whether any attempt so far may have been executed, or may yet be
     * @param dedupGroup the group that drops repeats of keyed requests in all pools that had the request; null if none
     *     does or they differ
     * @param nextDedupGroup the group of the pool that is to follow; null if it has none
     * @param arrivedMs when the request arrived, before which nothing can have been sent
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
     * Until when a pool may keep a request. A safe request must leave time for the next pool; one that may not be sent
     * twice gains nothing from an early end, as no other pool could take it. A keyed request that may have been
     * executed elsewhere must be sent while its repeats are dropped.
     *
     * @param isLastPool whether no other pool follows
     * @param clientDeadlineMs when the client gives up
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

    /** Whether a client may be told that its request was rejected, after which a retry has to be harmless. */
    public static boolean mayReject(ServiceClass serviceClass, boolean mayHaveRun) {
        return serviceClass.idempotency() == Idempotency.IDEMPOTENT || !mayHaveRun;
    }
}
