package cacheproxy.limits;

/** A rate with some room for bursts. Free of clocks: the time comes in, in milliseconds, and must not go back. */
public final class TokenBucket {
    private final double perMs;
    private final double burst;
    private double tokens;
    private double at = Double.NaN;

    /**
     * @param perSecond what comes in a second, above 0
     * @param burst what may be saved up, 1 or more; it is full at the start
     */
    public TokenBucket(double perSecond, double burst) {
        if (!(perSecond > 0) || !(burst >= 1)) {
            throw new IllegalArgumentException("rate " + perSecond + " with burst " + burst);
        }
        perMs = perSecond / 1000;
        this.burst = burst;
        tokens = burst;
    }

    private void fill(double now) {
        if (!Double.isNaN(at) && now > at) {
            tokens = Math.min(burst, tokens + (now - at) * perMs);
        }
        at = now;
    }

    /** Takes one, if there is one. */
    public boolean take(double now) {
        fill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Milliseconds until there is one; 0 if there is one now. */
    public double waitMs(double now) {
        fill(now);
        return tokens >= 1 ? 0 : (1 - tokens) / perMs;
    }
}
