package cacheproxy.fleet.healthcheck;

/**
 * Times of trials, milliseconds. Word that is taken is at most {@link #oldestMs} old, by the asker's own clock from
 * before it asked.
 *
 * @param probeMs what a trial may take
 * @param patienceMs how long word is waited for; then one goes by oneself
 * @param reuseMs for so long a trial's outcome is told to others without another
 */
public record HealthCheckTiming(double timeoutMs, double resultTimeoutMs, double reuseMs) {
    /** Trials in a row that others' word may call unsound before one's own way is tried: theirs may be the fault. */
    public static final int OWN_CHECK_EVERY = 4;
    /** Wanted again so soon after word that it is sound, the word says nothing of one's own way to it. */
    public static final double CONTRADICTION_WINDOW_MS = 60_000;

    public HealthCheckTiming {
        if (!(timeoutMs > 0) || !(resultTimeoutMs > timeoutMs) || !(reuseMs >= 0)) {
            throw new IllegalArgumentException(
                    "trial " + timeoutMs + ", patience " + resultTimeoutMs + ", reuse " + reuseMs);
        }
    }

    /** The oldest that word can be when it is taken. */
    public double maxResultAgeMs() {
        return resultTimeoutMs + reuseMs;
    }
}
