package cacheproxy.fleet.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * The times at which quotas were removed from the configuration, because donations of a quota remain in force if it is
 * restored.
 */
final class RemovedQuotas {
    /** Removal times are kept for this many durations of a donation. */
    private static final double KEPT_DONATIONS = 2;

    private final QuotaTiming timing;
    private final Map<Long, Double> removedAtMs = new HashMap<>();
    private double longestHoldMs;

    RemovedQuotas(QuotaTiming timing) {
        this.timing = timing;
    }

    /** Forgets quotas whose donations have expired. */
    void forget(double nowMs) {
        double keptMs = KEPT_DONATIONS * QuotaTiming.DONATION_GRANTS * timing.grantMs() + longestHoldMs;
        removedAtMs.values().removeIf(at -> nowMs - at > keptMs);
    }

    /** Records the hold time of a quota in use. */
    void recordInUse(QuotaSpec spec) {
        longestHoldMs = Math.max(longestHoldMs, spec.maxHoldMs());
    }

    /** Records that a quota has been removed, or replaced by one of another kind. */
    void add(long quotaId, double nowMs) {
        removedAtMs.put(quotaId, nowMs);
    }

    /** Returns when a quota was removed; {@code defaultMs} if it was not. */
    double removedAtMs(long quotaId, double defaultMs) {
        return removedAtMs.getOrDefault(quotaId, defaultMs);
    }
}
