package cacheproxy.limits;

/** A token bucket: limits the rate of requests and allows bursts up to a bound. */
public final class TokenBucket {
    private static final double MS_PER_SECOND = 1000;

    private final double tokensPerMs;
    private final double maxTokens;
    private double tokens;
    private double lastRefillMs = Double.NaN;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerSecond the rate, above 0
     * @param maxTokens the largest burst, 1 or more
     * @throws IllegalArgumentException if a value is out of its range
     */
    public TokenBucket(double tokensPerSecond, double maxTokens) {
        if (!(tokensPerSecond > 0) || !(maxTokens >= 1)) {
            throw new IllegalArgumentException("token bucket: rate " + tokensPerSecond
                    + " (expected above 0) with burst " + maxTokens + " (expected 1 or more)");
        }
        tokensPerMs = tokensPerSecond / MS_PER_SECOND;
        this.maxTokens = maxTokens;
        tokens = maxTokens;
    }

    /** Takes one token, if there is one. */
    public boolean tryAcquire(double nowMs) {
        refill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the milliseconds until there is a token; 0 if there is one now. */
    public double waitMs(double nowMs) {
        refill(nowMs);
        return tokens >= 1 ? 0 : (1 - tokens) / tokensPerMs;
    }

    private void refill(double nowMs) {
        if (!Double.isNaN(lastRefillMs) && nowMs > lastRefillMs) {
            tokens = Math.min(maxTokens, tokens + (nowMs - lastRefillMs) * tokensPerMs);
        }
        lastRefillMs = nowMs;
    }
}
