package cacheproxy.limits;

/**
 * Limits retries to a fraction of first attempts, so that a fleet with failing servers does not receive a multiple of
 * its normal load.
 *
 * <p>A fixed rate of retries is allowed in addition, so that a pool with few requests can retry at all. Saved tokens
 * are bounded, so that a long time without retries does not allow a large burst of them.
 */
public final class RetryBudget {
    /** Upper bound of the retry ratio. */
    private static final double MAX_RETRY_RATIO = 10;

    /** Retries that first attempts can save up. */
    private static final double MAX_SAVED_RETRIES = 10;

    private static final double MS_PER_SECOND = 1000;

    private final double retryRatio;
    private final double minRetriesPerSecond;
    private final double maxTokens;
    private double tokens;
    private double lastRefillMs = Double.NaN;

    /**
     * Creates a full budget.
     *
     * @param retryRatio retries for each first attempt, 0 to 10
     * @param minRetriesPerSecond retries a second that are allowed regardless of the ratio, 0 or more
     * @throws IllegalArgumentException if a value is out of its range
     */
    public RetryBudget(double retryRatio, double minRetriesPerSecond) {
        if (!(retryRatio >= 0 && retryRatio <= MAX_RETRY_RATIO) || !(minRetriesPerSecond >= 0)) {
            throw new IllegalArgumentException("retry budget: ratio " + retryRatio + " (expected 0 to 10) and "
                    + minRetriesPerSecond + " retries a second (expected 0 or more)");
        }
        this.retryRatio = retryRatio;
        this.minRetriesPerSecond = minRetriesPerSecond;
        maxTokens = Math.max(retryRatio > 0 ? MAX_SAVED_RETRIES : 0, minRetriesPerSecond);
        tokens = maxTokens;
    }

    /** Records that a request's first attempt is sent, which earns {@code retryRatio} of a retry. */
    public void recordFirstAttempt(double nowMs) {
        refill(nowMs);
        tokens = Math.min(maxTokens, tokens + retryRatio);
    }

    /** Takes one retry from the budget, if it has one. */
    public boolean tryAcquire(double nowMs) {
        refill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void refill(double nowMs) {
        if (!Double.isNaN(lastRefillMs) && nowMs > lastRefillMs) {
            tokens = Math.min(maxTokens, tokens + (nowMs - lastRefillMs) / MS_PER_SECOND * minRetriesPerSecond);
        }
        lastRefillMs = nowMs;
    }
}
