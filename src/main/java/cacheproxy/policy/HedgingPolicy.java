package cacheproxy.policy;

/**
 * When to hedge: an idempotent request whose cache server exceeds the hedging delay gets another attempt, beside the
 * first one or in its place. This guards against silent and hung servers. Hedges are limited to a fraction of
 * successful attempts, so that a slowdown of all servers is not answered by more load.
 */
final class HedgingPolicy {
    /** Attempts at cache servers after which the origin is next. */
    static final int MAX_CACHE_ATTEMPTS = 2;

    /** Hedges earned by each successful attempt. */
    private static final double HEDGE_RATIO = 0.05;

    private static final double MAX_TOKENS = 5;

    /** At least this fraction of the time left is waited, as a divisor. */
    private static final int MIN_DELAY_DIVISOR = 4;

    private final PolicySettings settings;
    private final LatencyEstimates latencies;
    private double tokens = MAX_TOKENS;

    HedgingPolicy(PolicySettings settings, LatencyEstimates latencies) {
        this.settings = settings;
        this.latencies = latencies;
    }

    /** Whether the newest attempt of a request, sent to a cache server or sibling, is hedged after a delay. */
    boolean appliesTo(PendingRequest pending) {
        return pending.serviceClass().isIdempotent()
                && pending.attemptsLeft() > 0
                && pending.attempts() <= MAX_CACHE_ATTEMPTS;
    }

    /**
     * Returns the hedging delay in milliseconds: the latency that servers rarely exceed, but early enough that another
     * server and then the origin can respond within the latency objective.
     */
    double delayMs(double nowMs, PendingRequest pending) {
        double expectedMaxMs = latencies.expectedMaxServerMs(pending.request());
        double remainingMs = Math.min(
                pending.serviceClass().latencyObjectiveMs(), pending.request().deadlineMs() - nowMs);
        return Math.max(
                remainingMs / MIN_DELAY_DIVISOR, Math.min(expectedMaxMs, remainingMs - 2 * latencies.originMs()));
    }

    /**
     * Whether one overdue attempt is reason enough to eject its server. It is where the attempt goes on, as its
     * response then clears the server. Where the attempt is cancelled, one may be chance: ejecting healthy servers
     * moves their keys to the origin.
     */
    boolean ejectsOnFirstOverdueAttempt() {
        return settings.hedgingAllowed();
    }

    /** Spends a hedge on a request whose attempt is overdue, if there is one and time for it. */
    boolean tryAcquire(double nowMs, PendingRequest pending) {
        if (tokens < 1
                || pending.request().deadlineMs() - nowMs < latencies.originMs()
                || (!settings.hedgingAllowed() && !settings.cancellationAllowed())) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Whether the overdue attempt goes on beside its hedge; else it is cancelled for it. */
    boolean keepsOverdueAttempt() {
        return settings.hedgingAllowed();
    }

    /** Gives back a hedge that has paid off, up to the budget: the later attempt has brought the response. */
    void refund() {
        tokens = Math.min(MAX_TOKENS, tokens + 1);
    }

    /** Records a successful attempt at a cache server. */
    void recordSuccess() {
        tokens = Math.min(MAX_TOKENS, tokens + HEDGE_RATIO);
    }
}
