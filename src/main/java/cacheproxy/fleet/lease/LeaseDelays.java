package cacheproxy.fleet.lease;

import java.util.SplittableRandom;

/** The pauses between a candidate's steps, spread by rank and at random so that candidates seldom collide. */
final class LeaseDelays {
    /** Candidates of the lowest ranks query at each expiry; those behind them less often, the higher the rank. */
    static final int FREQUENT_CANDIDATES = 5;
    /** A holder renews so many times in the duration of a lease: two renewals in a row may be lost. */
    private static final double RENEWALS_PER_LEASE = 3;
    /** The wait for replies, as a part of the duration of a lease. */
    private static final double REPLY_TIMEOUT_DIVISOR = 6;
    /** After a loss the former holder leaves others so long a part of the duration of a lease to claim it. */
    private static final double LOSS_BACKOFF_DIVISOR = 4;

    private static final double RANK_STEP_MS = 40;
    private static final double MAX_RANK_DELAY_MS = 400;
    private static final double MAX_QUERY_INTERVAL_MS = 30_000;
    /** The release of the former holder may reach the voters after its transfer has reached the successor. */
    private static final double TRANSFER_RETRY_MS = 15;

    private final long selfId;
    private final Candidacy candidacy;
    private final SplittableRandom random;

    LeaseDelays(long selfId, Candidacy candidacy, SplittableRandom random) {
        this.selfId = selfId;
        this.candidacy = candidacy;
        this.random = random;
    }

    /** Grows with this candidate's rank, and has a random part. */
    double staggerMs() {
        return Math.min(MAX_RANK_DELAY_MS, candidacy.voterSet().rank(selfId) * RANK_STEP_MS)
                + random.nextDouble() * RANK_STEP_MS;
    }

    /** When to query again after a query or a claim without a majority: within half a lease. */
    double retryAtMs(double nowMs) {
        return nowMs + random.nextDouble() * candidacy.leaseMs() / 2 + staggerMs();
    }

    /** When to query again after a rejected query in answer to a transfer. */
    double transferRetryAtMs(double nowMs) {
        return nowMs + TRANSFER_RETRY_MS * (1 + random.nextDouble());
    }

    /**
     * When to query again after a query that found a holder.
     *
     * @param remainingMs of the holder's grant
     */
    double nextQueryAtMs(double nowMs, double remainingMs) {
        int rankGroup = candidacy.voterSet().rank(selfId) / FREQUENT_CANDIDATES;
        double intervalMs = Math.min(MAX_QUERY_INTERVAL_MS, candidacy.leaseMs() * rankGroup);
        return nowMs + Math.max(remainingMs, intervalMs) + staggerMs();
    }

    /** When a former holder queries again. */
    double afterLossAtMs(double nowMs) {
        return nowMs + candidacy.leaseMs() / LOSS_BACKOFF_DIVISOR + staggerMs();
    }

    /** How long to wait for the replies to a query or a claim. */
    double replyTimeoutMs() {
        return candidacy.leaseMs() / REPLY_TIMEOUT_DIVISOR;
    }

    /** How long after a claim the grant is renewed. */
    double renewalIntervalMs() {
        return candidacy.leaseMs() / RENEWALS_PER_LEASE;
    }
}
