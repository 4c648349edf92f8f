package cacheproxy.invariant;

/**
 * Checks an attempt right before its first byte is sent. Conditions that held when the attempt was planned may have
 * changed since: it may have waited for a connection, behind other requests, or during a pause of the process.
 */
public final class SendGuard {
    /** Margin for a pause of the process between reading its clock and writing. */
    public static final double MAX_PAUSE_MS = 150;

    private final double drainGraceMs;

    /**
     * Creates a guard.
     *
     * @param drainGraceMs how long attempts may be sent to a server after it became known to be draining or gone
     */
    public SendGuard(double drainGraceMs) {
        this.drainGraceMs = drainGraceMs;
    }

    /**
     * Returns the latest time at which a retry may begin so that it is sent within its window even if the process
     * pauses in between.
     *
     * @param sentMs the earliest time at which the first attempt that may have been processed was sent
     * @param windowMs how long servers drop duplicates after that time
     */
    public static double retryUntilMs(double sentMs, double windowMs) {
        return sentMs + windowMs - pauseMarginMs(windowMs);
    }

    /**
     * Returns the invariant that the attempt would violate if it were sent now; null if there is none. Allocates
     * nothing.
     */
    public Invariant violatedBy(SendFacts send, double nowMs) {
        if (send.abandoned()) {
            return Invariant.CLIENT_PRESENT;
        }
        if (nowMs >= send.deadlineMs()) {
            return Invariant.DEADLINE_OPEN;
        }
        if (nowMs > send.retryUntilMs()) {
            return Invariant.REPEAT_WINDOW_OPEN;
        }
        if (send.singleEffect() && send.earlierAttemptMayHaveRun()) {
            return Invariant.SINGLE_EFFECT;
        }
        if (!send.hedgingAllowed() && send.earlierAttemptInFlight()) {
            return Invariant.SINGLE_ATTEMPT;
        }
        if (nowMs - send.serverUnavailableSinceMs() > drainGraceMs - pauseMarginMs(drainGraceMs)) {
            return Invariant.SERVER_ACCEPTS;
        }
        if (send.exceedsSlowStartBudget()) {
            return Invariant.SLOW_START_BUDGET;
        }
        return null;
    }

    /**
     * Returns by how much a period is shortened so that a send after a pause of the process still falls within it; half
     * of a short period.
     */
    private static double pauseMarginMs(double periodMs) {
        return Math.min(MAX_PAUSE_MS, periodMs / 2);
    }
}
