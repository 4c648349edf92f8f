package cacheproxy.limits;

/**
 * Retries as a share of first tries, so that a fleet in trouble is not given a multiple of its load. A few a second are
 * always allowed, or a quiet pool could never retry; what is saved up is bounded, so a long calm does not pay for a
 * storm. Free of clocks.
 */
public final class RetryBudget {
    /** First tries whose share may be saved up, at 10 seconds of so many tries a second. */
    private static final double SAVED = 10;

    private final double share;
    private final double always;
    private final double most;
    private double tokens;
    private double at = Double.NaN;

    /**
     * @param share retries for each first try, 0 to 10
     * @param always retries a second that are allowed whatever the share, 0 or more
     */
    public RetryBudget(double share, double always) {
        if (!(share >= 0 && share <= 10) || !(always >= 0)) {
            throw new IllegalArgumentException("retry share " + share + " and " + always + " a second");
        }
        this.share = share;
        this.always = always;
        most = Math.max(share > 0 ? SAVED : 0, always);
        tokens = most;
    }

    /** A request's first try goes out. */
    public void first(double now) {
        fill(now);
        tokens = Math.min(most, tokens + share);
    }

    /** Spends one retry, if there is one. */
    public boolean retry(double now) {
        fill(now);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void fill(double now) {
        if (!Double.isNaN(at) && now > at) {
            tokens = Math.min(most, tokens + (now - at) / 1000 * always);
        }
        at = now;
    }
}
