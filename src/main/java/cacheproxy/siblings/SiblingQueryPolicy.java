package cacheproxy.siblings;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides whether siblings are queried before the origin, which ones, and how long their replies are awaited. A query
 * delays every request that misses at the siblings; it saves time where a sibling has the value and the origin is slow,
 * throttled or unreachable. Siblings are therefore queried where the expected saving exceeds the expected delay, by
 * measured figures, and otherwise in a small share of cases, so that a change is noticed. Stateless; randomness is
 * passed in.
 */
public final class SiblingQueryPolicy {
    /** The share of a request's remaining latency objective that may be spent on waiting for replies. */
    static final double MAX_WAIT_SHARE = 0.25;
    /** Number of siblings that are queried about one key. */
    public static final int MAX_SIBLINGS_QUERIED = 4;
    /** Where querying does not pay, one in so many queries is sent all the same. */
    private static final int EXPLORATION_INTERVAL = 50;
    /** Bounds the factor by which the origin's overload multiplies the saving. */
    private static final double MAX_ORIGIN_PRESSURE = 20;

    private SiblingQueryPolicy() {}

    /**
     * What to do about one key.
     *
     * @param siblings whom to query, as indexes into the list that was passed; empty: nobody
     * @param waitMs how long to wait for the first hit
     */
    public record Plan(List<Integer> siblings, double waitMs) {
        static final Plan NONE = new Plan(List.of(), 0);
    }

    /**
     * Plans the query about one key.
     *
     * @param siblings the measured figures of all siblings
     * @param originFetchMs how long a fetch from the origin usually takes
     * @param siblingFetchMs how long a fetch from a sibling usually takes
     * @param remainingMs what is left of the request's latency objective
     * @param originPressure requests sent to the origin for each that it answers in time, from 1
     * @param randomDraw uniform, from 0 to below 1
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

    /** The eligible siblings that return a value most often, the best one first. */
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
