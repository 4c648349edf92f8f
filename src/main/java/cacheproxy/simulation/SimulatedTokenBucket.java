package cacheproxy.simulation;

/** A plain token bucket with a rate of its own, for the schemes that are compared with the real quotas. */
final class SimulatedTokenBucket {
    private double tokensPerSecond;
    private double tokens;
    private double filledMs;
    private double requested;

    /** Empties the bucket. */
    void reset(double nowMs) {
        tokens = 0;
        filledMs = nowMs;
    }

    /** Sets the rate from the next request on. */
    void setRate(double newTokensPerSecond) {
        tokensPerSecond = newTokensPerSecond;
    }

    /** Takes a token, if there is one. */
    boolean tryTake(double nowMs, double burst) {
        requested++;
        tokens = Math.min(Math.max(1, burst), tokens + (nowMs - filledMs) * tokensPerSecond / 1000);
        filledMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns how many tokens were requested since the last call. */
    double drainRequested() {
        double count = requested;
        requested = 0;
        return count;
    }
}
