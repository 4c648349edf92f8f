package cacheproxy.policy;

/** The rate at which a server has lately answered this policy's requests: a decaying average since {@link #reset}. */
final class AnswerRate {
    /** The average covers at least this time, so that a first answer does not count as a high rate. */
    private static final double MIN_OBSERVED_MS = 1000;

    private double count;
    private double countedAtMs;
    private double observedSinceMs;

    /** Forgets all answers. */
    void reset(double nowMs) {
        count = 0;
        countedAtMs = nowMs;
        observedSinceMs = nowMs;
    }

    /** Records an answer. */
    void record(double nowMs) {
        count = count(nowMs) + 1;
        countedAtMs = nowMs;
    }

    /** Returns the average in answers per millisecond. */
    double perMs(double nowMs) {
        return count(nowMs) / ExponentialDecay.totalMs(Math.max(MIN_OBSERVED_MS, nowMs - observedSinceMs));
    }

    private double count(double nowMs) {
        return count * ExponentialDecay.remaining(nowMs - countedAtMs);
    }
}
