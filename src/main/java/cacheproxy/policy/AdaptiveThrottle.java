package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedLoad;

/**
 * Client-side adaptive throttling: compares the attempts sent to a backend with those that it answered in time, both as
 * decaying counts. It prevents the overload in which late and rejected requests are retried and the backend spends its
 * capacity on requests whose clients no longer wait.
 *
 * <p>Counts restored from an earlier process are kept apart: they can raise the estimated overload, never lower it.
 */
final class AdaptiveThrottle {
    /** The backend is overloaded if more attempts than this are sent for each one that is answered in time. */
    static final double OVERLOAD_THRESHOLD = 1.2;

    private double sent;
    private double answered;
    private double restoredSent;
    private double restoredAnswered;
    private double decayedAtMs;

    /** Records an attempt that is sent, or one that an overloaded backend did not answer. */
    void recordSent(double nowMs) {
        decay(nowMs);
        sent++;
    }

    /** Records an attempt that was answered in time. */
    void recordAnswered(double nowMs) {
        decay(nowMs);
        answered++;
    }

    /** Returns the fraction of attempts that should not be sent, at most 1; 0 or less means none. */
    double excess(double nowMs) {
        decay(nowMs);
        return Math.max(excess(sent, answered), excess(sent + restoredSent, answered + restoredAnswered));
    }

    private static double excess(double sent, double answered) {
        return (sent - OVERLOAD_THRESHOLD * answered - 1) / (sent + 1);
    }

    /** Returns how many attempts are sent for each one answered in time, at least 1. */
    double pressure(double nowMs) {
        decay(nowMs);
        double own = (sent + 1) / (answered + 1);
        double withRestored = (sent + restoredSent + 1) / (answered + restoredAnswered + 1);
        return Math.max(1, Math.max(own, withRestored));
    }

    /** Returns whether the {@link #pressure} is above {@link #OVERLOAD_THRESHOLD}. */
    boolean isOverloaded(double nowMs) {
        return pressure(nowMs) > OVERLOAD_THRESHOLD;
    }

    /** Returns the counts for a snapshot. */
    LearnedLoad learned(double nowMs) {
        decay(nowMs);
        return new LearnedLoad(sent + restoredSent, answered + restoredAnswered);
    }

    /** Adds the counts of an earlier process. */
    void restore(double nowMs, LearnedLoad learned) {
        decay(nowMs);
        restoredSent += learned.sent();
        restoredAnswered += learned.answered();
    }

    private void decay(double nowMs) {
        double factor = ExponentialDecay.remaining(nowMs - decayedAtMs);
        sent *= factor;
        answered *= factor;
        restoredSent *= factor;
        restoredAnswered *= factor;
        decayedAtMs = nowMs;
    }
}
