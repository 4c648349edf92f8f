package cacheproxy.fleet.quota;

/** Bounds on how far a fleet can exceed a quota, and on how much of it can lie idle. */
public final class OvershootBound {
    private static final double MS_PER_SECOND = 1000;

    private OvershootBound() {}

    /**
     * How many requests a fleet can admit beyond its quota in any window, whatever links, processes and allocators do;
     * of a concurrent quota, how many more can be under way.
     *
     * @param windowMs the length of the window; without effect on a concurrent quota
     */
    public static double maxOvershoot(QuotaSpec spec, QuotaTiming timing, int proxies, double windowMs) {
        boolean decays = spec.whenIsolated() == QuotaSpec.IsolationPolicy.LAST;
        if (spec.concurrent()) {
            return decays ? spec.amount() : 0;
        }
        // A decaying grant spends half of what a constant one would.
        double decaying = decays ? spec.amount() * QuotaSpec.DECAY_GRANTS * timing.grantMs() / (2 * MS_PER_SECOND) : 0;
        return spec.maxBurst(proxies) + spec.amount() * windowMs / MS_PER_SECOND * timing.maxDrift() + decaying;
    }

    /**
     * The fraction of a quota that can lie idle while so many proxies have failed, or are isolated without requests.
     */
    public static double maxIdleFraction(QuotaSpec spec, int proxies, int failedProxies) {
        return Math.min(1, spec.staticShare(proxies) * failedProxies / spec.amount());
    }
}
