package cacheproxy.limits;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.policy.PolicyApi.Member;
import java.util.function.IntPredicate;

/** A pool's bounds towards its servers: its own retries, and cold servers together with all other pools. */
public final class PoolAdmissionControl implements AdmissionControl {
    private final SlowStartBudget cold;
    private final IntPredicate trials;
    private RetryBudget retries;

    /**
     * @param cold that of all pools of the process
     * @param trials whether a client's request may now be the trial of this server
     */
    public PoolAdmissionControl(SlowStartBudget cold, RetryBudget retries, IntPredicate trials) {
        this.cold = cold;
        this.trials = trials;
        this.retries = retries;
    }

    /** Another budget from now on. */
    public void retries(RetryBudget other) {
        retries = other;
    }

    @Override
    public boolean cold(double now, Member server, double startedMs) {
        return cold.take(now, server.id(), server.bornMs(), startedMs);
    }

    @Override
    public boolean trial(double now, Member server) {
        return trials.test(server.id());
    }

    @Override
    public void first(double now) {
        retries.first(now);
    }

    @Override
    public boolean retry(double now) {
        return retries.retry(now);
    }
}
