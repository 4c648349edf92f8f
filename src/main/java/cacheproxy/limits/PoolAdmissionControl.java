package cacheproxy.limits;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.policy.Endpoint;
import java.util.function.IntPredicate;

/** Limits one pool's sends by its own retry budget and by the slow-start budget that all pools of the process share. */
public final class PoolAdmissionControl implements AdmissionControl {
    private final SlowStartBudget slowStartBudget;
    private final IntPredicate halfOpenProbeAllowed;
    private RetryBudget retryBudget;

    /**
     * Creates the admission control of one pool.
     *
     * @param slowStartBudget the budget shared by all pools of the process
     * @param retryBudget the pool's own budget of retries
     * @param halfOpenProbeAllowed returns whether a client's request may now be the half-open probe of the server with
     *     the given id
     */
    public PoolAdmissionControl(
            SlowStartBudget slowStartBudget, RetryBudget retryBudget, IntPredicate halfOpenProbeAllowed) {
        this.slowStartBudget = slowStartBudget;
        this.retryBudget = retryBudget;
        this.halfOpenProbeAllowed = halfOpenProbeAllowed;
    }

    /** Replaces the retry budget; the replacement starts with its own tokens. */
    public void setRetryBudget(RetryBudget replacement) {
        retryBudget = replacement;
    }

    @Override
    public boolean admitWarmingUp(double nowMs, Endpoint server, double startedMs) {
        return slowStartBudget.tryAcquire(nowMs, server.id(), server.startedMs(), startedMs);
    }

    @Override
    public void returnWarmingUp(Endpoint server) {
        slowStartBudget.giveBack(server.id(), server.startedMs());
    }

    @Override
    public boolean admitHalfOpenProbe(double nowMs, Endpoint server) {
        return halfOpenProbeAllowed.test(server.id());
    }

    @Override
    public void recordFirstAttempt(double nowMs) {
        retryBudget.recordFirstAttempt(nowMs);
    }

    @Override
    public boolean admitRetry(double nowMs) {
        return retryBudget.tryAcquire(nowMs);
    }
}
