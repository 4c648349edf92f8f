package cacheproxy.fleet.quota;

/**
 * How much comes in. A slow mean, unless a quick one is away from it by more than chance explains, or nothing has come
 * for longer than chance explains: so it is steady where little comes and follows a burst's begin and end at once. Of
 * what is in hand the most of the last while. Free of clocks; milliseconds that must not go back.
 */
final class DemandEstimator {
    private static final double QUICK_MS = 200;
    private static final double SLOW_MS = 2000;
    /** What is asked for beyond what came: growth while the answer is on its way. */
    private static final double ROOM = 1.1;
    /** Standard deviations of the quick mean that chance is given. */
    private static final double CHANCE = 2.5;
    /** Mean gaps without anything that chance is given: one pause of 3,000. */
    private static final double GAPS = 8;

    private double quick;
    private double slow;
    private double peak;
    private double at = Double.NaN;
    private double cameMs = Double.NaN;

    private void age(double now) {
        if (!Double.isNaN(at) && now > at) {
            double by = now - at;
            quick *= Math.exp(-by / QUICK_MS);
            slow *= Math.exp(-by / SLOW_MS);
            peak *= Math.exp(-by / SLOW_MS);
        }
        at = now;
    }

    /** Something was asked for, whether it got it or not; so many would then be in hand. */
    void came(double now, int inHand) {
        age(now);
        quick += 1000 / QUICK_MS;
        slow += 1000 / SLOW_MS;
        peak = Math.max(peak, inHand);
        cameMs = now;
    }

    double perSecond(double now) {
        age(now);
        double chance = CHANCE * Math.sqrt(Math.max(1, slow) * 1000 / (2 * QUICK_MS));
        double rate = Math.abs(quick - slow) > chance ? quick : slow;
        double pause = now - cameMs;
        if (pause * rate > GAPS * 1000) {
            rate = 1000 / pause;
        }
        return Double.isNaN(cameMs) ? 0 : rate * ROOM;
    }

    double atOnce(double now) {
        age(now);
        double most = peak * ROOM;
        return most < 0.5 ? 0 : Math.ceil(most);
    }
}
