package cacheproxy.limits;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.policy.PolicyApi.Member;
import java.util.function.IntPredicate;

/** A pool's bounds towards its servers: its own retries, and cold servers together with all other pools. */
public final class PoolAdmissionControl implements AdmissionControl {
    private final SlowStartBudget cold;
    private final IntPredicate halfOpenProbeAllowed;
    private RetryBudget setRetryBudget;

    /**
     * @param cold that of all pools of the process
     * @param trials whether a client's request may now be the trial of this server
     */
    public PoolAdmissionControl(
            SlowStartBudget slowStartBudget, RetryBudget retryBudget, IntPredicate halfOpenProbeAllowed) {
        this.cold = slowStartBudget;
        this.halfOpenProbeAllowed = halfOpenProbeAllowed;
        this.setRetryBudget = retryBudget;
    }

    /** Another budget from now on. */
    public void setRetryBudget(RetryBudget replacement) {
        setRetryBudget = replacement;
    }

    @Override
    public boolean admitWarmingUp(double nowMs, Member server, double startedMs) {
        return cold.tryAcquire(nowMs, server.id(), server.bornMs(), startedMs);
    }

    @Override
    public boolean admitHalfOpenProbe(double nowMs, Member server) {
        return halfOpenProbeAllowed.test(server.id());
    }

    @Override
    public void recordFirstAttempt(double nowMs) {
        setRetryBudget.recordFirstAttempt(nowMs);
    }

    @Override
    public boolean admitRetry(double nowMs) {
        return setRetryBudget.tryAcquire(nowMs);
    }
}
