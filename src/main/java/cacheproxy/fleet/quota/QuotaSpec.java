package cacheproxy.fleet.quota;

/**
 * The definition of a fleet-wide quota.
 *
 * @param name the name in the configuration; not empty
 * @param concurrent whether the quota limits concurrent requests; otherwise requests per second
 * @param amount requests per second, above 0, or concurrent requests, a whole number from 1
 * @param burst for a rate, how many tokens the fleet may accumulate beyond one for each proxy; 0 or more
 * @param whenIsolated what a proxy may spend while no allocator replies
 * @param staticFraction the fraction of the amount that the proxies own in equal shares, 0 to 1; the rest is granted by
 *     the holder of the allocator lease
 * @param maxHoldMs how long an admitted request may last: the longest deadline for concurrent requests, 0 for a rate;
 *     the same at all proxies
 */
public record QuotaSpec(
        String name,
        boolean concurrent,
        double amount,
        double burst,
        IsolationPolicy whenIsolated,
        double staticFraction,
        double maxHoldMs) {
    /** What a proxy may spend while no allocator replies. The configuration uses these names. */
    public enum IsolationPolicy {
        /** Its share; the shares of all proxies add up to the quota. */
        SHARE,
        /** The last grant, which decays until only the share is left. */
        LAST,
        /** Nothing: no proxy owns a share, and the whole quota is granted by the allocator. */
        NONE
    }

    /** Under {@link IsolationPolicy#LAST} the last grant decays over this many durations of a grant. */
    static final double DECAY_GRANTS = 5;

    /** Tolerance that keeps rounding errors from turning a whole share into the next lower one. */
    private static final double ROUNDING = 1e-9;

    /**
     * Checks the ranges; without shares the static fraction is 0.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public QuotaSpec {
        boolean isAmountValid = amount > 0 && (!concurrent || amount == Math.rint(amount));
        boolean isHoldValid = maxHoldMs >= 0 && (concurrent || maxHoldMs == 0);
        boolean isFractionValid = staticFraction >= 0 && staticFraction <= 1;
        if (name.isEmpty() || !isAmountValid || !(burst >= 0) || !isHoldValid || !isFractionValid) {
            throw new IllegalArgumentException(
                    "limit " + name + " of " + amount + ", burst " + burst + ", static fraction " + staticFraction);
        }
        if (whenIsolated == IsolationPolicy.NONE) {
            staticFraction = 0;
        }
    }

    /** Returns the amount that each of this many proxies owns. */
    public double staticShare(int proxies) {
        double share = amount * staticFraction / Math.max(1, proxies);
        return concurrent ? Math.floor(share + ROUNDING) : share;
    }

    /**
     * Returns the amount that is in no proxy's share and that the holder of the allocator lease can grant.
     *
     * @param changing whether the list of proxies is being changed, so that other proxies may have shares of a
     *     different size
     */
    public double sharedPool(int proxies, boolean changing) {
        return concurrent && !changing
                ? amount - staticShare(proxies) * Math.max(1, proxies)
                : amount * (1 - staticFraction);
    }

    /** Returns how many tokens all proxies together may have accumulated. */
    public double maxBurst(int proxies) {
        return concurrent ? 0 : burst + proxies;
    }
}
