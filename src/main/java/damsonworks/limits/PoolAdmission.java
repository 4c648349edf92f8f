package damsonworks.limits;

import damsonworks.RoutingApi.Member;
import damsonworks.placement.Admission;

/** A pool's bounds towards its servers: its own retries, and cold servers together with all other pools. */
public final class PoolAdmission implements Admission {
    private final ColdBudget cold;
    private RetryBudget retries;

    /** @param cold that of all pools of the process */
    public PoolAdmission(ColdBudget cold, RetryBudget retries) {
        this.cold = cold;
        this.retries = retries;
    }

    /** Another budget from now on. */
    public void retries(RetryBudget other) {
        retries = other;
    }

    @Override
    public boolean cold(double now, Member server) {
        return cold.take(now, server.id(), server.bornMs());
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
