package cacheproxy.policy;

/**
 * Decides when to hedge: an idempotent request whose cache server exceeds the hedging delay gets another attempt, in
 * addition to the first one or in its place. This guards against silent and hung servers. Hedges are limited to a
 * fraction of successful attempts, so that a slowdown of all servers does not cause more load.
 */
final class HedgingPolicy {
    /** Number of attempts at cache servers after which the next one goes to the origin. */
    static final int MAX_CACHE_ATTEMPTS = 2;

    /** Hedges earned by each successful attempt. */
    private static final double HEDGE_RATIO = 0.05;

    private static final double MAX_TOKENS = 5;

    /** The hedging delay is at least the remaining time divided by this. */
    private static final int MIN_DELAY_DIVISOR = 4;

    private final PolicySettings settings;
    private final LatencyEstimates latencies;
    private double tokens = MAX_TOKENS;

    HedgingPolicy(PolicySettings settings, LatencyEstimates latencies) {
        this.settings = settings;
        this.latencies = latencies;
    }

    /** Returns whether a request's latest attempt, sent to a cache server or sibling, is hedged after a delay. */
    boolean appliesTo(PendingRequest pending) {
        return pending.serviceClass().isIdempotent()
                && pending.attemptsLeft() > 0
                && pending.attempts() <= MAX_CACHE_ATTEMPTS;
    }

    /**
     * Returns the hedging delay in milliseconds: the latency that servers rarely exceed, shortened if necessary so that
     * another server and then the origin can respond within the latency objective.
     */
    double delayMs(double nowMs, PendingRequest pending) {
        double expectedMaxMs = latencies.expectedMaxServerMs(pending.request());
        double remainingMs = Math.min(
                pending.serviceClass().latencyObjectiveMs(), pending.request().deadlineMs() - nowMs);
        return Math.max(
                remainingMs / MIN_DELAY_DIVISOR, Math.min(expectedMaxMs, remainingMs - 2 * latencies.originMs()));
    }

    /**
     * Returns whether a single overdue attempt ejects its server. It does if the attempt continues, because its
     * response then clears the server's failures. If the attempt is cancelled, a single one can be chance, and ejecting
     * healthy servers moves their keys to the origin.
     */
    boolean ejectsOnFirstOverdueAttempt() {
        return settings.hedgingAllowed();
    }

    /**
     * Takes a hedge from the budget for a request whose attempt is overdue, if the budget has one and enough time is
     * left.
     */
    boolean tryAcquire(double nowMs, PendingRequest pending) {
        if (tokens < 1
                || pending.request().deadlineMs() - nowMs < latencies.originMs()
                || (!settings.hedgingAllowed() && !settings.cancellationAllowed())) {
            return false;
        }
        tokens--;
        return true;
    }

    /**
     * Returns whether the overdue attempt continues alongside its hedge; otherwise it is cancelled in favor of the
     * hedge.
     */
    boolean keepsOverdueAttempt() {
        return settings.hedgingAllowed();
    }

    /** Returns a hedge to the budget, up to the budget's maximum, because the hedged attempt succeeded. */
    void refund() {
        tokens = Math.min(MAX_TOKENS, tokens + 1);
    }

    /** Records a successful attempt at a cache server. */
    void recordSuccess() {
        tokens = Math.min(MAX_TOKENS, tokens + HEDGE_RATIO);
    }
}
