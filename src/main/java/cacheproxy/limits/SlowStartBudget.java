package cacheproxy.limits;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits what all pools of a process together send to servers that are warming up.
 *
 * <p>A server that is warming up has a fraction of its capacity and fails when it receives a multiple of that for some
 * time. The routing policy limits each pool to the server's usual share of keys, but does not see other pools. So each
 * request to such a server takes a token from the server's bucket, which fills at the server's present capacity divided
 * by the number of proxies, because proxies do not coordinate these budgets.
 *
 * <p>Bound: within {@link SlowStartConfig#overloadWindowMs} at most the window's refill and a burst of
 * {@value #BURST_WINDOWS} windows are sent, which is 1.25 times the server's capacity.
 */
public final class SlowStartBudget {
    /** Capacity of a server's bucket, in overload windows of refill. */
    static final double BURST_WINDOWS = 0.25;

    /** Maximum number of servers with a bucket; beyond it the least recently used bucket is removed. */
    static final int MAX_SERVERS = 20_000;

    private static final double MS_PER_SECOND = 1000;

    /** Tokens of one server. */
    private static final class Bucket {
        double listedStartMs = Double.NaN;
        double tokens;
        double lastRefillMs;
    }

    /** Buckets by server id, in order of their last use. */
    private static final class RecentBuckets extends LinkedHashMap<Integer, Bucket> {
        private static final long serialVersionUID = 1L;
        private static final int INITIAL_CAPACITY = 16;
        private static final float LOAD_FACTOR = 0.75f;

        RecentBuckets() {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Bucket> eldest) {
            return size() > MAX_SERVERS;
        }
    }

    private SlowStartConfig config;
    private final Map<Integer, Double> ratePerSecond = new HashMap<>();
    private final Map<Integer, Bucket> buckets = new RecentBuckets();

    /** Creates a budget in which no server has a bucket yet. */
    public SlowStartBudget(SlowStartConfig config) {
        this.config = config;
    }

    /** Replaces the configuration; tokens already taken stay taken. */
    public void setConfig(SlowStartConfig replacement) {
        config = replacement;
    }

    /**
     * Sets the capacity of a server when warm.
     *
     * @param perSecond requests a second; 0 or less if unknown, so that {@link SlowStartConfig#defaultRatePerSecond}
     *     applies
     */
    public void setServerRate(int server, double perSecond) {
        if (perSecond > 0) {
            ratePerSecond.put(server, perSecond);
        } else {
            ratePerSecond.remove(server);
        }
    }

    /**
     * Like {@link #tryAcquire(double, int, double, double)} for a server whose start is known on the caller's clock.
     */
    public boolean tryAcquire(double nowMs, int server, double startedMs) {
        return tryAcquire(nowMs, server, startedMs, startedMs);
    }

    /**
     * Takes one token of a server, if there is one.
     *
     * @param listedStartMs the start time in the endpoint list; a different value means a restart
     * @param startedMs the start time on the caller's clock
     * @return whether one more request may be sent to the server
     */
    public boolean tryAcquire(double nowMs, int server, double listedStartMs, double startedMs) {
        Bucket bucket = buckets.computeIfAbsent(server, absent -> new Bucket());
        double tokensPerMs = requestsPerMs(server, startedMs, nowMs);
        double maxTokens = Math.max(1, tokensPerMs * config.overloadWindowMs() * BURST_WINDOWS);
        if (bucket.listedStartMs != listedStartMs) {
            bucket.listedStartMs = listedStartMs;
            bucket.tokens = 1;
            bucket.lastRefillMs = nowMs;
        }
        double refill = Math.max(0, nowMs - bucket.lastRefillMs) * tokensPerMs;
        bucket.tokens = Math.min(maxTokens, bucket.tokens + refill);
        bucket.lastRefillMs = nowMs;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    /**
     * Returns a token, because its request never reached the server. It is lost if the server has restarted since.
     *
     * @param listedStartMs the start time in the endpoint list
     */
    public void giveBack(int server, double listedStartMs) {
        Bucket bucket = buckets.get(server);
        if (bucket != null && bucket.listedStartMs == listedStartMs) {
            bucket.tokens++;
        }
    }

    /** Returns how many requests a millisecond this proxy may send to a server that started at {@code startedMs}. */
    private double requestsPerMs(int server, double startedMs, double nowMs) {
        double ageMs = Math.max(0, nowMs - startedMs);
        double warmedUpFraction = config.warmUpMs() > 0 ? Math.min(1, ageMs / config.warmUpMs()) : 1;
        double capacityFraction = config.startCapacity() + (1 - config.startCapacity()) * warmedUpFraction;
        double warmRatePerSecond = ratePerSecond.getOrDefault(server, config.defaultRatePerSecond());
        return warmRatePerSecond * capacityFraction / MS_PER_SECOND / config.proxyCount();
    }
}
