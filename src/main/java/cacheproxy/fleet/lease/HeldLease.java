package cacheproxy.fleet.lease;

import java.util.Optional;

/** The grant that a holder acts under: when it expires, until when permitted actions run, and whether it is ending. */
final class HeldLease {
    private final LeaseTiming timing;
    private double untilMs = Double.NEGATIVE_INFINITY;
    private double actionsUntilMs = Double.NEGATIVE_INFINITY;
    private LeaseLoss plannedLoss;

    HeldLease(LeaseTiming timing) {
        this.timing = timing;
    }

    /** Prolongs the grant; a reply that arrives late never shortens it. */
    void extend(double toMs) {
        untilMs = Math.max(untilMs, toMs);
    }

    /** Plans to give the lease up once the permitted actions are over; the first plan counts. */
    void planLoss(LeaseLoss loss) {
        if (plannedLoss == null) {
            plannedLoss = loss;
        }
    }

    /** The planned end; empty while the lease is to be renewed. */
    Optional<LeaseLoss> plannedLoss() {
        return Optional.ofNullable(plannedLoss);
    }

    /** Whether the lease is to be given up, so that no further action is permitted. */
    boolean isEnding() {
        return plannedLoss != null;
    }

    /** Whether an action of this duration may begin now; if so, the lease is not given up before its end. */
    boolean permit(double nowMs, double actionMs) {
        if (isEnding() || !timing.permitsAction(nowMs, untilMs, actionMs)) {
            return false;
        }
        actionsUntilMs = Math.max(actionsUntilMs, nowMs + actionMs);
        return true;
    }

    /** Whether the grant is over. */
    boolean isExpired(double nowMs) {
        return nowMs >= untilMs;
    }

    /** Whether a planned loss can take place now. */
    boolean isReadyToEnd(double nowMs) {
        return isEnding() && nowMs >= actionsUntilMs;
    }

    /** The time left of the grant; 0 once it is over. */
    double remainingMs(double nowMs) {
        return Math.max(0, untilMs - nowMs);
    }

    /**
     * When the holder has to look at it next.
     *
     * @param renewAtMs when it is to be renewed unless it is ending
     */
    double nextMs(double nowMs, double renewAtMs) {
        double changeMs = isEnding() ? Math.max(nowMs, actionsUntilMs) : renewAtMs;
        return Math.min(changeMs, untilMs);
    }

    /** Forgets the grant. */
    void clear() {
        untilMs = Double.NEGATIVE_INFINITY;
        actionsUntilMs = Double.NEGATIVE_INFINITY;
        plannedLoss = null;
    }

    /** What decides the holder's next step, for a model checker. */
    String fingerprint(double nowMs) {
        return Math.round(Math.max(-1, untilMs - nowMs)) + " " + (plannedLoss == null ? null : plannedLoss.logText());
    }
}
