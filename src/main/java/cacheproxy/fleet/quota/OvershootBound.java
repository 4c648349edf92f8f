package cacheproxy.fleet.quota;

/** How far over a limit the whole fleet can be, by formula: the page says why. */
public final class OvershootBound {
    private OvershootBound() {}

    /**
     * Requests beyond the limit's part of any window, whatever links, processes and dealers do. At once: how many more
     * may be in hand.
     *
     * @param windowMs its length; of no meaning at once
     */
    public static double over(QuotaSpec l, QuotaTiming rules, int proxies, double windowMs) {
        double decays = l.alone() == QuotaSpec.Alone.LAST ? l.amount() * QuotaSpec.DECAY * rules.grantMs() / 2000 : 0;
        if (l.atOnce()) {
            return l.alone() == QuotaSpec.Alone.LAST ? l.amount() : 0;
        }
        return l.saved(proxies) + l.amount() * windowMs / 1000 * rules.drift() + decays;
    }

    /**
     * The part of the limit that can lie idle while some proxies are dead, or reach nobody and are asked for nothing.
     */
    public static double idle(QuotaSpec l, int proxies, int gone) {
        return Math.min(1, l.share(proxies) * gone / l.amount());
    }
}
