package cacheproxy.invariant;

/**
 * Checks an attempt right before its first byte is sent. What was true when the attempt was planned may have changed
 * since: it may have waited for a connection, behind other requests, or during a pause of the process.
 */
public final class SendGuard {
    /** Margin for a pause of the process between reading its clock and writing. */
    public static final double MAX_PAUSE_MS = 150;

    private final double drainGraceMs;

    /**
     * Creates a guard.
     *
     * @param drainGraceMs how long a server may be sent to after it became known to be draining or gone
     */
    public SendGuard(double drainGraceMs) {
        this.drainGraceMs = drainGraceMs;
    }

    /**
     * Until when a retry may begin so that it is sent within its window even if the process pauses in between.
     *
     * @param sentMs the earliest time at which the first attempt that may have been processed was sent
     * @param windowMs for how long from then on servers drop duplicates
     */
    public static double retryUntilMs(double sentMs, double windowMs) {
        return sentMs + windowMs - pauseMarginMs(windowMs);
    }

    /** The invariant that the attempt would violate if it were sent now; null if none. Allocates nothing. */
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
        return null;
    }

    /** What a period is shortened by, so that a pause of the process does not exceed it; half of a short period. */
    private static double pauseMarginMs(double periodMs) {
        return Math.min(MAX_PAUSE_MS, periodMs / 2);
    }
}
