package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedLatency;
import java.util.List;

/**
 * Exponentially weighted averages of latencies and of cost hints. Latencies of cache servers have an average and a mean
 * deviation, as in TCP's estimate of round-trip times (RFC 6298). They are divided by the request's relative cost.
 */
final class LatencyEstimates {
    /** Initial estimates, as divisors of the shortest latency objective. */
    private static final int INITIAL_ORIGIN_DIVISOR = 4;

    private static final int INITIAL_SERVER_DIVISOR = 8;

    /** Weights of a new sample, as divisors. */
    private static final int ORIGIN_DIVISOR = 8;

    private static final int SERVER_DIVISOR = 16;
    private static final int COST_DIVISOR = 32;

    /** Number of mean deviations above the average that latencies rarely exceed. */
    private static final int EXPECTED_MAX_DEVIATIONS = 3;

    /** Smallest plausible cost hint: the unit of the hints on the wire. */
    private static final double MIN_COST_MS = 0.001;

    /** Largest plausible cost hint: the longest deadline, which no request may exceed. */
    private final double maxCostMs;

    private double originMs;
    private double serverMs;
    private double serverDeviationMs;
    private double averageCostMs;

    /**
     * Creates initial estimates.
     *
     * @throws IllegalArgumentException if there is no service class
     */
    LatencyEstimates(List<ServiceClass> classes) {
        double shortestObjectiveMs = classes.stream()
                .mapToDouble(ServiceClass::latencyObjectiveMs)
                .min()
                .orElseThrow(() -> new IllegalArgumentException("settings have no service class"));
        maxCostMs = classes.stream().mapToDouble(ServiceClass::deadlineMs).max().orElseThrow();
        originMs = shortestObjectiveMs / INITIAL_ORIGIN_DIVISOR;
        serverMs = shortestObjectiveMs / INITIAL_SERVER_DIVISOR;
        serverDeviationMs = serverMs;
    }

    /** Records a request's cost hint, if it has a plausible one; the first one sets the average. */
    void recordCost(RoutingRequest request) {
        if (hasPlausibleCost(request)) {
            averageCostMs += (request.costHintMs() - averageCostMs) / (averageCostMs > 0 ? COST_DIVISOR : 1);
        }
    }

    /** Records the latency of a fetch from the origin. */
    void recordOrigin(double elapsedMs) {
        originMs += (elapsedMs - originMs) / ORIGIN_DIVISOR;
    }

    /** Records the latency of a cache server. */
    void recordServer(RoutingRequest request, double elapsedMs) {
        double relativeMs = elapsedMs / relativeCost(request);
        serverDeviationMs += (Math.abs(relativeMs - serverMs) - serverDeviationMs) / SERVER_DIVISOR;
        serverMs += (relativeMs - serverMs) / SERVER_DIVISOR;
    }

    /** Returns the average latency of a fetch from the origin. */
    double originMs() {
        return originMs;
    }

    /** Returns the average latency of a cache server for a request of average cost. */
    double serverMs() {
        return serverMs;
    }

    /** Returns the latency that a cache server rarely exceeds for a request. */
    double expectedMaxServerMs(RoutingRequest request) {
        return (serverMs + EXPECTED_MAX_DEVIATIONS * serverDeviationMs) * relativeCost(request);
    }

    /** Returns a request's cost hint as a multiple of the average; 1 if it has no plausible hint. */
    double relativeCost(RoutingRequest request) {
        return hasPlausibleCost(request) && averageCostMs > 0 ? request.costHintMs() / averageCostMs : 1;
    }

    /**
     * Returns whether a request has a plausible cost hint. Clients set the hints, and an implausible one must not
     * outweigh all others.
     */
    private boolean hasPlausibleCost(RoutingRequest request) {
        return request.costHintMs() >= MIN_COST_MS && request.costHintMs() <= maxCostMs;
    }

    /** Returns the estimates for a snapshot. */
    LearnedLatency learned() {
        return new LearnedLatency(originMs, averageCostMs, serverMs, serverDeviationMs, 1);
    }

    /** Moves the estimates towards those of an earlier process, in proportion to their weight. */
    void restore(LearnedLatency learned) {
        originMs += (learned.originMs() - originMs) * learned.weight();
        serverMs += (learned.averageMs() - serverMs) * learned.weight();
        serverDeviationMs += (learned.deviationMs() - serverDeviationMs) * learned.weight();
        averageCostMs = averageCostMs > 0 || learned.weight() == 0 ? averageCostMs : learned.averageCost();
    }
}
