package cacheproxy.limits;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What freshly started servers are given by all pools of a process together. A cold server can do part of its work and
 * falls over when it is sent a stated multiple of that for a stated time; the module holds each pool to the server's
 * usual share of keys, but a pool can't see the others, nor that it takes another's place. So every send to a cold
 * server, from whatever pool, takes from one bucket that fills at what the server can do now, divided among the proxies
 * of the tier as they share nothing. Free of I/O and clocks; times in milliseconds.
 *
 * <p>Bound: in a span of {@code fallMs}, at most the span's fill and a burst of {@value #BURST_SPANS} spans are sent,
 * 1.25 times what the server can do, where it falls at {@code tipMultiple}, which is above that.
 */
public final class SlowStartBudget {
    static final double BURST_WINDOWS = 0.25;
    /** So many servers are kept in mind, those longest not sent to go first. */
    static final int MAX_SERVERS = 20_000;

    /** What the site says of starts, and the tier. */
    public record SlowStartConfig(
            double startCapacity,
            double warmUpMs,
            double overloadWindowMs,
            int proxyCount,
            double defaultRatePerSecond) {
        public SlowStartConfig {
            if (!(startCapacity > 0 && startCapacity <= 1)
                    || !(warmUpMs >= 0)
                    || !(overloadWindowMs > 0)
                    || proxyCount < 1
                    || !(defaultRatePerSecond > 0)) {
                throw new IllegalArgumentException("cold figures " + startCapacity + ", " + warmUpMs + ", "
                        + overloadWindowMs + ", " + proxyCount + ", " + defaultRatePerSecond);
            }
        }
    }

    private static final class Bucket {
        double listedStartMs = Double.NaN;
        double tokens;
        double lastRefillMs;
    }

    private SlowStartConfig setConfig;
    private final Map<Integer, Double> ratePerSecond = new HashMap<>();
    private final Map<Integer, Bucket> buckets;

    public SlowStartBudget(SlowStartConfig config) {
        this.setConfig = config;
        buckets = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Bucket> eldest) {
                return size() > MAX_SERVERS;
            }
        };
    }

    /** Other figures from now on; what has been sent stays counted. */
    public void setConfig(SlowStartConfig replacement) {
        setConfig = replacement;
    }

    /** What a server can do when warm, in requests a second; the figure for unknown ones holds until this is told. */
    public void setServerRate(int server, double perSecond) {
        if (perSecond > 0) {
            ratePerSecond.put(server, perSecond);
        } else {
            ratePerSecond.remove(server);
        }
    }

    /** Requests a millisecond that this proxy may send to the server, started then, by now. */
    private double requestsPerMs(int server, double startedMs, double nowMs) {
        double ageMs = Math.max(0, nowMs - startedMs);
        double warmedUpPart = setConfig.warmUpMs() > 0 ? Math.min(1, ageMs / setConfig.warmUpMs()) : 1;
        double capacityPart = setConfig.startCapacity() + (1 - setConfig.startCapacity()) * warmedUpPart;
        return ratePerSecond.getOrDefault(server, setConfig.defaultRatePerSecond())
                * capacityPart
                / 1000
                / setConfig.proxyCount();
    }

    /** Whether a server that started then may be sent one more request; if so it counts as sent. */
    public boolean tryAcquire(double nowMs, int server, double listedStartMs) {
        return tryAcquire(nowMs, server, listedStartMs, listedStartMs);
    }

    /**
     * The same where lists tell starts by another clock.
     *
     * @param bornMs as the list tells it: another one is another start
     * @param startedMs when that was, on the caller's clock
     */
    public boolean tryAcquire(double nowMs, int server, double listedStartMs, double startedMs) {
        Bucket bucket = buckets.computeIfAbsent(server, absent -> new Bucket());
        double perMs = requestsPerMs(server, startedMs, nowMs);
        double maxTokens = Math.max(1, perMs * setConfig.overloadWindowMs() * BURST_WINDOWS);
        if (bucket.listedStartMs != listedStartMs) {
            bucket.listedStartMs = listedStartMs;
            bucket.tokens = 1;
            bucket.lastRefillMs = nowMs;
        }
        bucket.tokens = Math.min(maxTokens, bucket.tokens + Math.max(0, nowMs - bucket.lastRefillMs) * perMs);
        bucket.lastRefillMs = nowMs;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }
}
