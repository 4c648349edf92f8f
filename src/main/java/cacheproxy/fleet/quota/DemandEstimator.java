package cacheproxy.fleet.quota;

/**
 * Estimates the demand of one proxy. The rate is a slow exponential average, unless a fast one differs from it by more
 * than chance explains, or the present pause is longer than chance explains. So it is steady at low rates and follows
 * the begin and end of a burst at once. Concurrency is a decaying maximum.
 */
final class DemandEstimator {
    private static final double FAST_AVERAGE_MS = 200;
    private static final double SLOW_AVERAGE_MS = 2000;
    private static final double MS_PER_SECOND = 1000;
    /** Allows for growth while a request for capacity is under way. */
    private static final double HEADROOM = 1.1;
    /** The fast average may differ from the slow one by so many standard deviations. */
    private static final double MAX_DEVIATIONS = 2.5;
    /** A pause may be so many mean intervals long; one of 3,000 pauses is longer by chance. */
    private static final double MAX_IDLE_INTERVALS = 8;
    /** A smaller maximum has decayed to nothing. */
    private static final double MIN_CONCURRENT = 0.5;

    private double fastPerSecond;
    private double slowPerSecond;
    private double maxConcurrent;
    private double decayedMs = Double.NaN;
    private double lastRequestMs = Double.NaN;

    private void decay(double nowMs) {
        if (!Double.isNaN(decayedMs) && nowMs > decayedMs) {
            double elapsedMs = nowMs - decayedMs;
            fastPerSecond *= Math.exp(-elapsedMs / FAST_AVERAGE_MS);
            slowPerSecond *= Math.exp(-elapsedMs / SLOW_AVERAGE_MS);
            maxConcurrent *= Math.exp(-elapsedMs / SLOW_AVERAGE_MS);
        }
        decayedMs = nowMs;
    }

    /**
     * A request has arrived, whether it is admitted or not.
     *
     * @param concurrent how many requests would be under way with it
     */
    void recordRequest(double nowMs, int concurrent) {
        decay(nowMs);
        fastPerSecond += MS_PER_SECOND / FAST_AVERAGE_MS;
        slowPerSecond += MS_PER_SECOND / SLOW_AVERAGE_MS;
        maxConcurrent = Math.max(maxConcurrent, concurrent);
        lastRequestMs = nowMs;
    }

    /** The demand in requests per second. */
    double perSecond(double nowMs) {
        decay(nowMs);
        double deviation =
                MAX_DEVIATIONS * Math.sqrt(Math.max(1, slowPerSecond) * MS_PER_SECOND / (2 * FAST_AVERAGE_MS));
        double rate = Math.abs(fastPerSecond - slowPerSecond) > deviation ? fastPerSecond : slowPerSecond;
        double idleMs = nowMs - lastRequestMs;
        if (idleMs * rate > MAX_IDLE_INTERVALS * MS_PER_SECOND) {
            rate = MS_PER_SECOND / idleMs;
        }
        return Double.isNaN(lastRequestMs) ? 0 : rate * HEADROOM;
    }

    /** The demand in concurrent requests, a whole number. */
    double concurrent(double nowMs) {
        decay(nowMs);
        double expected = maxConcurrent * HEADROOM;
        return expected < MIN_CONCURRENT ? 0 : Math.ceil(expected);
    }
}
