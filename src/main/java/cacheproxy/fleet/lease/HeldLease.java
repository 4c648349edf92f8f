package cacheproxy.fleet.lease;

import java.util.Optional;

/**
 * The grant that a holder acts under: when it expires, until when permitted actions run, and whether its end is
 * planned.
 */
final class HeldLease {
    private final LeaseTiming timing;
    private double untilMs = Double.NEGATIVE_INFINITY;
    private double actionsUntilMs = Double.NEGATIVE_INFINITY;
    private LeaseLoss plannedLoss;

    HeldLease(LeaseTiming timing) {
        this.timing = timing;
    }

    /** Extends the grant; a reply that arrives late never shortens it. */
    void extend(double toMs) {
        untilMs = Math.max(untilMs, toMs);
    }

    /** Plans the loss of the lease for when the permitted actions have ended; only the first plan has an effect. */
    void planLoss(LeaseLoss loss) {
        if (plannedLoss == null) {
            plannedLoss = loss;
        }
    }

    /** Returns the planned loss; empty while the lease is to be renewed. */
    Optional<LeaseLoss> plannedLoss() {
        return Optional.ofNullable(plannedLoss);
    }

    /** Returns whether the loss of the lease is planned, so that no further action is permitted. */
    boolean isEnding() {
        return plannedLoss != null;
    }

    /**
     * Returns whether an action of this duration may begin now; if so, the lease is not given up before the action has
     * ended.
     */
    boolean permit(double nowMs, double actionMs) {
        if (isEnding() || !timing.permitsAction(nowMs, untilMs, actionMs)) {
            return false;
        }
        actionsUntilMs = Math.max(actionsUntilMs, nowMs + actionMs);
        return true;
    }

    /** Returns whether the grant has expired. */
    boolean isExpired(double nowMs) {
        return nowMs >= untilMs;
    }

    /** Returns whether a planned loss can take effect now. */
    boolean isReadyToEnd(double nowMs) {
        return isEnding() && nowMs >= actionsUntilMs;
    }

    /** Returns the time left of the grant; 0 once it has expired. */
    double remainingMs(double nowMs) {
        return Math.max(0, untilMs - nowMs);
    }

    /**
     * Returns when the holder must check the grant next.
     *
     * @param renewAtMs when the grant is to be renewed, unless its loss is planned
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

    /** Returns the state that determines the holder's next step, for a model checker. */
    String fingerprint(double nowMs) {
        return Math.round(Math.max(-1, untilMs - nowMs)) + " " + (plannedLoss == null ? null : plannedLoss.logText());
    }
}
