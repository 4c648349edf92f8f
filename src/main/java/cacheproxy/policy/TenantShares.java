package cacheproxy.policy;

import java.util.List;

/**
 * Divides rejections among tenants. Recent requests of each tenant are counted with decay; rejections go to the tenants
 * that exceed their quotas most (max-min fairness), because requests over a quota have little value. Client retries
 * raise the counts of all tenants alike.
 */
final class TenantShares {
    /** Bisection steps: the multiple of the quotas is found to one part in 16 million. */
    private static final int BISECTION_STEPS = 24;

    /** Replaces a quota of 0, to avoid a division by zero. */
    private static final double MIN_QUOTA_PER_SECOND = 1e-9;

    private final List<Tenant> tenants;
    private final double[] requested;
    private double decayedAtMs;

    TenantShares(List<Tenant> tenants) {
        this.tenants = tenants;
        requested = new double[tenants.size()];
    }

    /** Records a request of a tenant, given by its index. */
    void recordRequest(double nowMs, int tenant) {
        double factor = ExponentialDecay.remaining(nowMs - decayedAtMs);
        decayedAtMs = nowMs;
        for (int i = 0; i < requested.length; i++) {
            requested[i] *= factor;
        }
        requested[tenant]++;
    }

    /**
     * Returns the probability, 0 to 1, with which to reject a request of a tenant that has recent requests.
     *
     * @param rejectedFraction fraction of all tenants' requests that must be rejected, over 0 and at most 1
     */
    double rejectionProbability(int tenant, double rejectedFraction) {
        double allowedTotal = 0;
        double highMultiple = 0;
        for (int i = 0; i < requested.length; i++) {
            allowedTotal += requested[i] * (1 - rejectedFraction);
            highMultiple = Math.max(highMultiple, requested[i] / Math.max(MIN_QUOTA_PER_SECOND, quota(i)));
        }
        double lowMultiple = 0;
        for (int step = 0; step < BISECTION_STEPS; step++) {
            double multiple = (lowMultiple + highMultiple) / 2;
            if (totalAllowed(multiple) < allowedTotal) {
                lowMultiple = multiple;
            } else {
                highMultiple = multiple;
            }
        }
        return 1 - allowed(tenant, highMultiple) / requested[tenant];
    }

    private double totalAllowed(double quotaMultiple) {
        double total = 0;
        for (int i = 0; i < requested.length; i++) {
            total += allowed(i, quotaMultiple);
        }
        return total;
    }

    private double allowed(int tenant, double quotaMultiple) {
        return Math.min(requested[tenant], quotaMultiple * quota(tenant));
    }

    private double quota(int tenant) {
        return tenants.get(tenant).quotaPerSecond();
    }
}
