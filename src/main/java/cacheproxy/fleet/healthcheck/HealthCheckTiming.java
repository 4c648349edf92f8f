package cacheproxy.fleet.healthcheck;

/**
 * Times of shared health checks, in milliseconds.
 *
 * @param checkTimeoutMs the longest that a check takes
 * @param resultTimeoutMs wait for another proxy's result before a proxy checks by itself; longer than a check
 * @param reuseMs age up to which a result is sent to others without another check
 */
public record HealthCheckTiming(double checkTimeoutMs, double resultTimeoutMs, double reuseMs) {
    /**
     * Every so many checks in a row that others report as failed a proxy checks by itself: their path may be at fault.
     */
    public static final int OWN_CHECK_EVERY = 4;
    /** A check that is wanted again so soon after a healthy result contradicts it, in ms. */
    public static final double CONTRADICTION_WINDOW_MS = 60_000;

    /** Checks the ranges; throws IllegalArgumentException naming the values. */
    public HealthCheckTiming {
        if (!(checkTimeoutMs > 0) || !(resultTimeoutMs > checkTimeoutMs) || !(reuseMs >= 0)) {
            throw new IllegalArgumentException("check timeout of " + checkTimeoutMs + " ms, result timeout of "
                    + resultTimeoutMs + " ms, reuse for " + reuseMs
                    + " ms; expected a positive check timeout, a longer result timeout and no negative reuse");
        }
    }

    /** The oldest that a result may be when it arrives. */
    double maxResultAgeMs() {
        return reuseMs + checkTimeoutMs;
    }
}
