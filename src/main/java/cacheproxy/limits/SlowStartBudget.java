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
    static final double BURST_SPANS = 0.25;
    /** So many servers are kept in mind, those longest not sent to go first. */
    static final int MOST_SERVERS = 20_000;

    /** What the site says of starts, and the tier. */
    public record Figures(double startCapacity, double warmUpMs, double fallMs, int instances, double unknownRate) {
        public Figures {
            if (!(startCapacity > 0 && startCapacity <= 1)
                    || !(warmUpMs >= 0)
                    || !(fallMs > 0)
                    || instances < 1
                    || !(unknownRate > 0)) {
                throw new IllegalArgumentException("cold figures " + startCapacity + ", " + warmUpMs + ", " + fallMs
                        + ", " + instances + ", " + unknownRate);
            }
        }
    }

    private static final class Bucket {
        double bornMs = Double.NaN;
        double tokens;
        double at;
    }

    private Figures figures;
    private final Map<Integer, Double> rates = new HashMap<>();
    private final Map<Integer, Bucket> buckets;

    public SlowStartBudget(Figures figures) {
        this.figures = figures;
        buckets = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Bucket> eldest) {
                return size() > MOST_SERVERS;
            }
        };
    }

    /** Other figures from now on; what has been sent stays counted. */
    public void figures(Figures other) {
        figures = other;
    }

    /** What a server can do when warm, in requests a second; the figure for unknown ones holds until this is told. */
    public void rate(int server, double perSecond) {
        if (perSecond > 0) {
            rates.put(server, perSecond);
        } else {
            rates.remove(server);
        }
    }

    /** Requests a millisecond that this proxy may send to the server, started then, by now. */
    private double perMs(int server, double startedMs, double now) {
        double age = Math.max(0, now - startedMs);
        double warm = figures.warmUpMs() > 0 ? Math.min(1, age / figures.warmUpMs()) : 1;
        double part = figures.startCapacity() + (1 - figures.startCapacity()) * warm;
        return rates.getOrDefault(server, figures.unknownRate()) * part / 1000 / figures.instances();
    }

    /** Whether a server that started then may be sent one more request; if so it counts as sent. */
    public boolean take(double now, int server, double bornMs) {
        return take(now, server, bornMs, bornMs);
    }

    /**
     * The same where lists tell starts by another clock.
     *
     * @param bornMs as the list tells it: another one is another start
     * @param startedMs when that was, on the caller's clock
     */
    public boolean take(double now, int server, double bornMs, double startedMs) {
        Bucket b = buckets.computeIfAbsent(server, s -> new Bucket());
        double perMs = perMs(server, startedMs, now);
        double most = Math.max(1, perMs * figures.fallMs() * BURST_SPANS);
        if (b.bornMs != bornMs) {
            b.bornMs = bornMs;
            b.tokens = 1;
            b.at = now;
        }
        b.tokens = Math.min(most, b.tokens + Math.max(0, now - b.at) * perMs);
        b.at = now;
        if (b.tokens < 1) {
            return false;
        }
        b.tokens--;
        return true;
    }
}
