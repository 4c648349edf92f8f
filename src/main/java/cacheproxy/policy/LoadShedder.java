package cacheproxy.policy;

import java.util.SplittableRandom;

/** Rejects a random fraction of requests under overload, first those of tenants over their quotas. */
final class LoadShedder {
    private final SplittableRandom random;

    /** Null if all requests have the same value, so that tenants are not distinguished. */
    private final TenantShares tenantShares;

    LoadShedder(PolicySettings settings, SplittableRandom random) {
        this.random = random;
        boolean byTenant =
                settings.overQuotaValueFraction() < 1 && settings.tenants().size() > 1;
        tenantShares = byTenant ? new TenantShares(settings.tenants()) : null;
    }

    /** Records a client's request. */
    void recordRequest(double nowMs, RoutingRequest request) {
        if (tenantShares != null) {
            tenantShares.recordRequest(nowMs, request.tenant());
        }
    }

    /** Whether a request may be rejected at all: only an idempotent one, before its first attempt. */
    static boolean mayReject(PendingRequest pending) {
        return pending.attempts() == 0 && pending.serviceClass().isIdempotent();
    }

    /**
     * Whether to reject a request.
     *
     * @param excess fraction of all requests to reject; 0 or less means none
     */
    boolean shouldReject(PendingRequest pending, double excess) {
        if (excess <= 0) {
            return false;
        }
        return random.nextDouble() < rejectionProbability(pending.request().tenant(), excess);
    }

    private double rejectionProbability(int tenant, double excess) {
        return tenantShares == null ? excess : tenantShares.rejectionProbability(tenant, excess);
    }
}
