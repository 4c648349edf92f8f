package cacheproxy.routes;

import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;

/**
 * What becomes of a request that a pool's module has given up on. The module has kept the rule on effects within its
 * pool; here it is kept from pool to pool. Free of clocks; times in milliseconds.
 */
public final class Fallback {
    /** Of a safe request's remaining time a pool gets this part where another one follows. */
    static final double PART = 0.5;

    private Fallback() {}

    /**
     * Whether a request may go on to another pool.
     *
     * @param mayHaveRun whether any attempt so far may have run, or may yet
     * @param group what drops repeats of keyed requests in the pools it has been to; null if none does or they differ
     * @param nextGroup the same of the pool that is to follow
     * @param now the present time
     * @param arrivedMs when the request came; nothing can have been sent before
     */
    public static boolean mayGoOn(
            ServiceClass kind, boolean mayHaveRun, String group, String nextGroup, double now, double arrivedMs) {
        if (kind.idempotency() == Idempotency.IDEMPOTENT || !mayHaveRun) {
            return true;
        }
        return kind.idempotency() == Idempotency.DEDUPLICATED
                && group != null
                && group.equals(nextGroup)
                && now < arrivedMs + kind.deduplicationWindowMs();
    }

    /**
     * Until when a pool may keep a request. A safe one must leave time for the next pool; one that may not be sent
     * twice gains nothing by an early end, as it could go nowhere then. A keyed one that may have run elsewhere must be
     * sent within the time in which its repeats are dropped.
     *
     * @param last whether no other pool follows
     */
    public static double dueMs(
            ServiceClass kind, boolean mayHaveRun, boolean last, double now, double arrivedMs, double clientDueMs) {
        double due = clientDueMs;
        if (kind.idempotency() == Idempotency.IDEMPOTENT && !last) {
            due = now + (clientDueMs - now) * PART;
        }
        if (kind.idempotency() == Idempotency.DEDUPLICATED && mayHaveRun) {
            due = Math.min(due, arrivedMs + kind.deduplicationWindowMs());
        }
        return due;
    }

    /** Whether a client may be told that it was turned away, so that a retry is harmless. */
    public static boolean mayRefuse(ServiceClass kind, boolean mayHaveRun) {
        return kind.idempotency() == Idempotency.IDEMPOTENT || !mayHaveRun;
    }
}
