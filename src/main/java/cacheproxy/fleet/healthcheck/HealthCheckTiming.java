package cacheproxy.fleet.healthcheck;

/**
 * Timing of shared health checks, in milliseconds.
 *
 * @param checkTimeoutMs the longest time that a check takes
 * @param resultTimeoutMs how long a proxy waits for another proxy's result before it makes its own check; longer than a
 *     check
 * @param reuseMs the age up to which a result is sent to others without another check
 */
public record HealthCheckTiming(double checkTimeoutMs, double resultTimeoutMs, double reuseMs) {
    /**
     * After one less than this number of consecutive failures reported by others, a proxy makes the next check itself,
     * because the failure may lie in the network path of the others.
     */
    public static final int OWN_CHECK_EVERY = 4;
    /** A request within this time after a healthy result contradicts that result, in ms. */
    public static final double CONTRADICTION_WINDOW_MS = 60_000;

    /** Checks the ranges; throws IllegalArgumentException naming the values. */
    public HealthCheckTiming {
        if (!(checkTimeoutMs > 0) || !(resultTimeoutMs > checkTimeoutMs) || !(reuseMs >= 0)) {
            throw new IllegalArgumentException("check timeout of " + checkTimeoutMs + " ms, result timeout of "
                    + resultTimeoutMs + " ms, reuse for " + reuseMs
                    + " ms; expected a positive check timeout, a longer result timeout and no negative reuse");
        }
    }

    /** Returns the maximum age of a result when it arrives. */
    double maxResultAgeMs() {
        return reuseMs + checkTimeoutMs;
    }
}
