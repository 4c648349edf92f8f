package cacheproxy.invariant;

/**
 * The last look at an attempt before its first byte goes out: what was decided when it was placed may no longer hold,
 * as it may have waited for a connection, behind others, or through a pause of the process. Free of I/O and clocks.
 */
public final class SendGuard {
    /** A process may be held up for so long between reading its clock and writing. */
    public static final double HOLD_UP_MS = 150;

    private final double drainGraceMs;

    /** @param drainGraceMs how long after the news a server that drains or has gone may still be sent to */
    public SendGuard(double drainGraceMs) {
        this.drainGraceMs = drainGraceMs;
    }

    /**
     * Until when a repeat may begin, so that it is written within its window though the process is held up in between.
     *
     * @param sentMs when the first attempt that may have run was sent, at the earliest
     * @param windowMs for how long from then on servers drop repeats
     */
    public static double repeatUntilMs(double sentMs, double windowMs) {
        return sentMs + windowMs - Math.min(HOLD_UP_MS, windowMs / 2);
    }

    /** The invariant that the attempt would violate if it began now; null: none, it may begin. */
    public Invariant violatedBy(SendFacts send, double nowMs) {
        if (send.abandoned()) {
            return Invariant.CLIENT_PRESENT;
        }
        if (nowMs >= send.deadlineMs()) {
            return Invariant.DEADLINE_OPEN;
        }
        if (nowMs > send.repeatUntilMs()) {
            return Invariant.REPEAT_WINDOW_OPEN;
        }
        if (send.singleEffect() && send.earlierMayHaveRun()) {
            return Invariant.SINGLE_EFFECT;
        }
        if (!send.secondCopiesAllowed() && send.earlierOut()) {
            return Invariant.SINGLE_ATTEMPT;
        }
        if (nowMs - send.serverLeftMs() > drainGraceMs - Math.min(HOLD_UP_MS, drainGraceMs / 2)) {
            return Invariant.SERVER_ACCEPTS;
        }
        return null;
    }
}
