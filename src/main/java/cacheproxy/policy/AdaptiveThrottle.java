package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedLoad;

/**
 * Client-side adaptive throttling: compares the attempts sent to a backend with those answered in time, both as
 * decaying counts. It prevents the overload in which late and rejected requests are retried, so that the backend works
 * for requests that nobody waits for any more.
 *
 * <p>Counts restored from an earlier process are kept apart: they can raise the estimated overload, never lower it.
 */
final class AdaptiveThrottle {
    /** Attempts sent for each one answered in time up to which there is no overload. */
    static final double HEADROOM = 1.2;

    private double sent;
    private double answered;
    private double restoredSent;
    private double restoredAnswered;
    private double decayedAtMs;

    /** Records an attempt that is sent, or one that an overloaded backend has not answered. */
    void recordSent(double nowMs) {
        decay(nowMs);
        sent++;
    }

    /** Records an attempt that was answered in time. */
    void recordAnswered(double nowMs) {
        decay(nowMs);
        answered++;
    }

    /** Returns the fraction of attempts that should not be sent, at most 1; none if it is not above 0. */
    double excess(double nowMs) {
        decay(nowMs);
        return Math.max(excess(sent, answered), excess(sent + restoredSent, answered + restoredAnswered));
    }

    private static double excess(double sent, double answered) {
        return (sent - HEADROOM * answered - 1) / (sent + 1);
    }

    /** Returns how many attempts are sent for each one answered in time, at least 1. */
    double pressure(double nowMs) {
        decay(nowMs);
        double own = (sent + 1) / (answered + 1);
        double withRestored = (sent + restoredSent + 1) / (answered + restoredAnswered + 1);
        return Math.max(1, Math.max(own, withRestored));
    }

    /** Whether more attempts are sent than {@link #HEADROOM} allows for. */
    boolean isOverloaded(double nowMs) {
        return pressure(nowMs) > HEADROOM;
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
