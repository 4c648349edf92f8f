package cacheproxy.siblings;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides whether siblings are queried before the origin, which ones, and how long their replies are awaited. A query
 * delays every request that misses at the siblings; it saves time where a sibling has the value and the origin is slow,
 * throttled or unreachable. Siblings are therefore queried if, according to the measurements, the expected saving
 * exceeds the expected delay, and otherwise in a small share of cases, so that a change is noticed. Stateless; the
 * caller passes in random numbers.
 */
public final class SiblingQueryPolicy {
    /** The share of a request's remaining latency objective that may be spent on waiting for replies. */
    static final double MAX_WAIT_SHARE = 0.25;
    /** Maximum number of siblings that are queried about one key. */
    public static final int MAX_SIBLINGS_QUERIED = 4;
    /** If querying does not save time, one in this many queries is sent anyway. */
    private static final int EXPLORATION_INTERVAL = 50;
    /** Bounds the factor by which the origin's overload multiplies the saving. */
    private static final double MAX_ORIGIN_PRESSURE = 20;

    private SiblingQueryPolicy() {}

    /**
     * Which siblings to query about one key, and how long to wait.
     *
     * @param siblings the siblings to query, as indexes into the list that was passed; empty: none
     * @param waitMs how long to wait for the first hit
     */
    public record Plan(List<Integer> siblings, double waitMs) {
        static final Plan NONE = new Plan(List.of(), 0);
    }

    /**
     * Plans the query about one key.
     *
     * @param siblings the measurements of all siblings
     * @param originFetchMs how long a fetch from the origin usually takes
     * @param siblingFetchMs how long a fetch from a sibling usually takes
     * @param remainingMs the remaining time of the request's latency objective
     * @param originPressure the number of requests sent to the origin for each one that it answers in time, at least 1
     * @param randomDraw a uniform random number, at least 0 and below 1
     */
    public static Plan plan(
            double nowMs,
            List<SiblingStats> siblings,
            double originFetchMs,
            double siblingFetchMs,
            double remainingMs,
            double originPressure,
            double randomDraw) {
        double maxWaitMs = remainingMs * MAX_WAIT_SHARE;
        if (!(maxWaitMs > 0) || siblings.isEmpty()) {
            return Plan.NONE;
        }
        List<Integer> queried = mostPromising(nowMs, siblings, maxWaitMs);
        if (queried.isEmpty()) {
            return Plan.NONE;
        }
        double waitMs = 0;
        double missProbability = 1;
        for (int i : queried) {
            SiblingStats stats = siblings.get(i);
            waitMs = Math.max(waitMs, Math.min(maxWaitMs, stats.replyTimeoutMs(maxWaitMs)));
            missProbability *= 1 - stats.valueRate();
        }
        double savedMs = originFetchMs * Math.min(MAX_ORIGIN_PRESSURE, Math.max(1, originPressure)) - siblingFetchMs;
        boolean savesTime = (1 - missProbability) * savedMs > missProbability * waitMs;
        boolean valueArrivesInTime = waitMs + siblingFetchMs <= remainingMs;
        boolean isExploration = randomDraw * EXPLORATION_INTERVAL < 1;
        return valueArrivesInTime && (savesTime || isExploration) ? new Plan(List.copyOf(queried), waitMs) : Plan.NONE;
    }

    /** Returns the eligible siblings that return a value most often, the best one first. */
    private static List<Integer> mostPromising(double nowMs, List<SiblingStats> siblings, double maxWaitMs) {
        List<Integer> eligible = new ArrayList<>();
        for (int i = 0; i < siblings.size(); i++) {
            SiblingStats stats = siblings.get(i);
            boolean isTooSlow = stats.replyTimeoutMs(maxWaitMs) > maxWaitMs * 2;
            if (stats.isEligible(nowMs) && !isTooSlow) {
                eligible.add(i);
            }
        }
        eligible.sort((left, right) -> Double.compare(
                siblings.get(right).valueRate(), siblings.get(left).valueRate()));
        return eligible.subList(0, Math.min(MAX_SIBLINGS_QUERIED, eligible.size()));
    }
}
