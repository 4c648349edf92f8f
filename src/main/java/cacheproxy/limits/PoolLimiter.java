package cacheproxy.limits;

/** Limits the requests that a pool accepts, by the number of pending requests and by their rate. */
public final class PoolLimiter {
    /** Time after which a client should retry when the pool has its maximum of pending requests, in milliseconds. */
    public static final double FULL_POOL_RETRY_AFTER_MS = 20;

    /** Shortest time after which a client should retry when the rate is exceeded, in milliseconds. */
    private static final double MIN_RETRY_AFTER_MS = 1;

    /** The burst is what the rate admits in one second divided by this. */
    private static final double BURSTS_PER_SECOND = 10;

    private final int maxPendingRequests;

    /** Null if there is no rate limit. */
    private final TokenBucket rate;

    /**
     * Creates a limiter whose rate limit, if any, starts with a full burst.
     *
     * @param maxPendingRequests maximum number of pending requests, 1 or more
     * @param requestsPerSecond accepted requests a second; 0 or less for no rate limit
     */
    public PoolLimiter(int maxPendingRequests, double requestsPerSecond) {
        this.maxPendingRequests = maxPendingRequests;
        rate = requestsPerSecond > 0
                ? new TokenBucket(requestsPerSecond, Math.max(1, requestsPerSecond / BURSTS_PER_SECOND))
                : null;
    }

    /**
     * Admits one more request, which then counts against the rate, or rejects it.
     *
     * @param pendingRequests the number of the pool's pending requests, without this one
     * @return 0 if the request is admitted, otherwise the milliseconds after which the client should retry
     */
    public double admit(double nowMs, int pendingRequests) {
        if (pendingRequests >= maxPendingRequests) {
            return FULL_POOL_RETRY_AFTER_MS;
        }
        if (rate == null || rate.tryAcquire(nowMs)) {
            return 0;
        }
        return Math.max(MIN_RETRY_AFTER_MS, rate.waitMs(nowMs));
    }
}
