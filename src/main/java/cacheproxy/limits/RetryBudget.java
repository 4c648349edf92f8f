package cacheproxy.limits;

/**
 * Retries as a share of first tries, so that a fleet in trouble is not given a multiple of its load. A few a second are
 * always allowed, or a quiet pool could never retry; what is saved up is bounded, so a long calm does not pay for a
 * storm. Free of clocks.
 */
public final class RetryBudget {
    /** First tries whose share may be saved up, at 10 seconds of so many tries a second. */
    private static final double MAX_SAVED_RETRIES = 10;

    private final double retryRatio;
    private final double minRetriesPerSecond;
    private final double maxTokens;
    private double tokens;
    private double lastRefillMs = Double.NaN;

    /**
     * @param share retries for each first try, 0 to 10
     * @param always retries a second that are allowed whatever the share, 0 or more
     */
    public RetryBudget(double retryRatio, double minRetriesPerSecond) {
        if (!(retryRatio >= 0 && retryRatio <= 10) || !(minRetriesPerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "retry share " + retryRatio + " and " + minRetriesPerSecond + " a second");
        }
        this.retryRatio = retryRatio;
        this.minRetriesPerSecond = minRetriesPerSecond;
        maxTokens = Math.max(retryRatio > 0 ? MAX_SAVED_RETRIES : 0, minRetriesPerSecond);
        tokens = maxTokens;
    }

    /** A request's first try goes out. */
    public void recordFirstAttempt(double nowMs) {
        refill(nowMs);
        tokens = Math.min(maxTokens, tokens + retryRatio);
    }

    /** Spends one retry, if there is one. */
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
            tokens = Math.min(maxTokens, tokens + (nowMs - lastRefillMs) / 1000 * minRetriesPerSecond);
        }
        lastRefillMs = nowMs;
    }
}
