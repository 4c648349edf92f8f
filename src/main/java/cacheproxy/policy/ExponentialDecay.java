package cacheproxy.policy;

/** Exponential decay of the counts that describe recent load. */
final class ExponentialDecay {
    /** Half-life in milliseconds, in which a proxy with a few fetches a second makes about ten. */
    private static final double HALF_LIFE_MS = 4000;

    private ExponentialDecay() {}

    /** Returns the fraction of a count that remains after a time in milliseconds. */
    static double remaining(double elapsedMs) {
        return Math.pow(0.5, elapsedMs / HALF_LIFE_MS);
    }

    /**
     * Returns the count, divided by its rate per millisecond, of something that has happened at a constant rate for a
     * time in milliseconds.
     */
    static double totalMs(double elapsedMs) {
        return HALF_LIFE_MS / Math.log(2) * (1 - remaining(elapsedMs));
    }
}
