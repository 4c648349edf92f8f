package cacheproxy.fleet.lease;

import java.util.SplittableRandom;

/** The delays between a candidate's steps, spread by rank and at random so that candidates seldom collide. */
final class LeaseDelays {
    /**
     * This many candidates of the lowest ranks query at each expiry; the others query less often, the higher their
     * rank.
     */
    static final int FREQUENT_CANDIDATES = 5;
    /** Renewals per duration of a lease, so that two consecutive renewals can be lost. */
    private static final double RENEWALS_PER_LEASE = 3;
    /** The duration of a lease divided by this is the wait for replies. */
    private static final double REPLY_TIMEOUT_DIVISOR = 6;
    /** The duration of a lease divided by this is the time that a former holder leaves others to claim the lease. */
    private static final double LOSS_BACKOFF_DIVISOR = 4;

    private static final double RANK_STEP_MS = 40;
    private static final double MAX_RANK_DELAY_MS = 400;
    private static final double MAX_QUERY_INTERVAL_MS = 30_000;
    /**
     * Minimum retry delay after a transfer: the former holder's release may reach the voters after its transfer has
     * reached the successor.
     */
    private static final double TRANSFER_RETRY_MS = 15;

    private final long selfId;
    private final Candidacy candidacy;
    private final SplittableRandom random;

    LeaseDelays(long selfId, Candidacy candidacy, SplittableRandom random) {
        this.selfId = selfId;
        this.candidacy = candidacy;
        this.random = random;
    }

    /** Returns a delay that grows with this candidate's rank, and has a random component. */
    double staggerMs() {
        return Math.min(MAX_RANK_DELAY_MS, candidacy.voterSet().rank(selfId) * RANK_STEP_MS)
                + random.nextDouble() * RANK_STEP_MS;
    }

    /**
     * Returns when to query again after a query or a claim without a majority: within half a lease, plus the stagger.
     */
    double retryAtMs(double nowMs) {
        return nowMs + random.nextDouble() * candidacy.leaseMs() / 2 + staggerMs();
    }

    /** Returns when to query again after a query that was caused by a transfer and rejected. */
    double transferRetryAtMs(double nowMs) {
        return nowMs + TRANSFER_RETRY_MS * (1 + random.nextDouble());
    }

    /**
     * Returns when to query again after a query that found a holder.
     *
     * @param remainingMs the time left of the holder's grant
     */
    double nextQueryAtMs(double nowMs, double remainingMs) {
        int rankGroup = candidacy.voterSet().rank(selfId) / FREQUENT_CANDIDATES;
        double intervalMs = Math.min(MAX_QUERY_INTERVAL_MS, candidacy.leaseMs() * rankGroup);
        return nowMs + Math.max(remainingMs, intervalMs) + staggerMs();
    }

    /** Returns when a former holder queries again. */
    double afterLossAtMs(double nowMs) {
        return nowMs + candidacy.leaseMs() / LOSS_BACKOFF_DIVISOR + staggerMs();
    }

    /** Returns how long to wait for the replies to a query or a claim. */
    double replyTimeoutMs() {
        return candidacy.leaseMs() / REPLY_TIMEOUT_DIVISOR;
    }

    /** Returns the time from a claim to its renewal. */
    double renewalIntervalMs() {
        return candidacy.leaseMs() / RENEWALS_PER_LEASE;
    }
}
