package cacheproxy.limits;

/** A rate with some room for bursts. Free of clocks: the time comes in, in milliseconds, and must not go back. */
public final class TokenBucket {
    private final double tokensPerMs;
    private final double maxTokens;
    private double tokens;
    private double lastRefillMs = Double.NaN;

    /**
     * @param perSecond what comes in a second, above 0
     * @param burst what may be saved up, 1 or more; it is full at the start
     */
    public TokenBucket(double tokensPerSecond, double maxTokens) {
        if (!(tokensPerSecond > 0) || !(maxTokens >= 1)) {
            throw new IllegalArgumentException("rate " + tokensPerSecond + " with burst " + maxTokens);
        }
        tokensPerMs = tokensPerSecond / 1000;
        this.maxTokens = maxTokens;
        tokens = maxTokens;
    }

    private void refill(double nowMs) {
        if (!Double.isNaN(lastRefillMs) && nowMs > lastRefillMs) {
            tokens = Math.min(maxTokens, tokens + (nowMs - lastRefillMs) * tokensPerMs);
        }
        lastRefillMs = nowMs;
    }

    /** Takes one, if there is one. */
    public boolean tryAcquire(double nowMs) {
        refill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Milliseconds until there is one; 0 if there is one now. */
    public double waitMs(double nowMs) {
        refill(nowMs);
        return tokens >= 1 ? 0 : (1 - tokens) / tokensPerMs;
    }
}
