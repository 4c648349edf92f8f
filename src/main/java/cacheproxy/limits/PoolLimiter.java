package cacheproxy.limits;

/** What a pool takes in: requests in hand and requests a second. Free of clocks. */
public final class PoolLimiter {
    /** How long a client is told to stay away from a pool whose places are all taken, in milliseconds. */
    public static final double FULL_POOL_WAIT_MS = 20;

    private final int maxPendingRequests;
    private final TokenBucket rate;

    /**
     * @param most requests in hand, 1 or more
     * @param perSecond requests a second; 0: no bound
     */
    public PoolLimiter(int maxPendingRequests, double requestsPerSecond) {
        this.maxPendingRequests = maxPendingRequests;
        rate = requestsPerSecond > 0 ? new TokenBucket(requestsPerSecond, Math.max(1, requestsPerSecond / 10)) : null;
    }

    /** 0 if the pool takes one more request, which then counts; else the milliseconds after which to come again. */
    public double admit(double nowMs, int pendingRequests) {
        if (pendingRequests >= maxPendingRequests) {
            return FULL_POOL_WAIT_MS;
        }
        return rate == null || rate.tryAcquire(nowMs) ? 0 : Math.max(1, rate.waitMs(nowMs));
    }
}
