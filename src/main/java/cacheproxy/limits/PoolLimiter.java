package cacheproxy.limits;

/** What a pool takes in: requests in hand and requests a second. Free of clocks. */
public final class PoolLimiter {
    /** How long a client is told to stay away from a pool whose places are all taken, in milliseconds. */
    public static final double FULL_WAIT_MS = 20;

    private final int most;
    private final TokenBucket rate;

    /**
     * @param most requests in hand, 1 or more
     * @param perSecond requests a second; 0: no bound
     */
    public PoolLimiter(int most, double perSecond) {
        this.most = most;
        rate = perSecond > 0 ? new TokenBucket(perSecond, Math.max(1, perSecond / 10)) : null;
    }

    /** 0 if the pool takes one more request, which then counts; else the milliseconds after which to come again. */
    public double admit(double now, int inHand) {
        if (inHand >= most) {
            return FULL_WAIT_MS;
        }
        return rate == null || rate.take(now) ? 0 : Math.max(1, rate.waitMs(now));
    }
}
