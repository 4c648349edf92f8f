package cacheproxy.fleet.quota;

/** Bounds on how far a fleet can exceed a quota, and on how much of a quota can stay unused. */
public final class OvershootBound {
    private static final double MS_PER_SECOND = 1000;

    private OvershootBound() {}

    /**
     * Returns how many requests a fleet can admit beyond its quota in any window, whatever failures of links, processes
     * and allocators occur; for a concurrent quota, how many requests beyond it can be in flight.
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
     * Returns the fraction of a quota that can stay unused while this many proxies have failed, or are isolated and
     * receive no requests.
     */
    public static double maxIdleFraction(QuotaSpec spec, int proxies, int failedProxies) {
        return Math.min(1, spec.staticShare(proxies) * failedProxies / spec.amount());
    }
}
