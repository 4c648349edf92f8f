package cacheproxy.fleet.quota;

/**
 * Estimates the demand of one proxy. The rate is a slow exponential average, unless a fast average differs from it by
 * more than chance explains, or the time since the last request is longer than chance explains. So the estimate is
 * steady at low rates and follows the start and the end of a burst immediately. Concurrency is estimated as a decaying
 * maximum.
 */
final class DemandEstimator {
    private static final double FAST_AVERAGE_MS = 200;
    private static final double SLOW_AVERAGE_MS = 2000;
    private static final double MS_PER_SECOND = 1000;
    /** Allows for growth while a request for capacity is in flight. */
    private static final double HEADROOM = 1.1;
    /** The fast average may differ from the slow one by this many standard deviations. */
    private static final double MAX_DEVIATIONS = 2.5;
    /** The time between requests may be this many mean intervals; about one in 3,000 is longer by chance. */
    private static final double MAX_IDLE_INTERVALS = 8;
    /** A maximum that has decayed below this counts as 0. */
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
     * Records the arrival of a request, whether it is admitted or not.
     *
     * @param concurrent the number of requests in flight if this one is admitted
     */
    void recordRequest(double nowMs, int concurrent) {
        decay(nowMs);
        fastPerSecond += MS_PER_SECOND / FAST_AVERAGE_MS;
        slowPerSecond += MS_PER_SECOND / SLOW_AVERAGE_MS;
        maxConcurrent = Math.max(maxConcurrent, concurrent);
        lastRequestMs = nowMs;
    }

    /** Returns the demand in requests per second. */
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

    /** Returns the demand in concurrent requests, a whole number. */
    double concurrent(double nowMs) {
        decay(nowMs);
        double expected = maxConcurrent * HEADROOM;
        return expected < MIN_CONCURRENT ? 0 : Math.ceil(expected);
    }
}
