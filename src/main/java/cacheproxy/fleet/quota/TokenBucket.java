package cacheproxy.fleet.quota;

/** A token bucket whose rate and size change with the capacity of its quota. */
final class TokenBucket {
    private static final double MS_PER_SECOND = 1000;

    private double tokens;
    private double rate;
    private double refilledMs = Double.NaN;

    /**
     * Adds the tokens for the time since the last call. The rate has changed at an unknown time in between, so the
     * lower of the two rates is used.
     *
     * @param newRate tokens per second from now on
     * @param size the maximum number of tokens that are kept
     */
    void refill(double nowMs, double newRate, double size) {
        if (!Double.isNaN(refilledMs) && nowMs > refilledMs) {
            tokens += Math.min(rate, newRate) * (nowMs - refilledMs) / MS_PER_SECOND;
        }
        tokens = Math.min(tokens, size);
        rate = newRate;
        refilledMs = nowMs;
    }

    /** Returns whether a token is available. */
    boolean hasToken() {
        return tokens >= 1;
    }

    /** Takes a token. */
    void take() {
        tokens--;
    }

    /** Returns the tokens per second since the last refill. */
    double rate() {
        return rate;
    }

    /** Returns the time until a token is available at the present rate, which must be above 0. */
    double waitMs() {
        return (1 - tokens) / rate * MS_PER_SECOND;
    }
}
