package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedLatency;
import java.util.List;

/**
 * Exponentially weighted averages of latencies and of cost hints, as TCP estimates round-trip times (RFC 6298): an
 * average and a mean deviation. Latencies of cache servers are divided by the request's relative cost.
 */
final class LatencyEstimates {
    /** Initial estimates, as divisors of the shortest latency objective. */
    private static final int INITIAL_ORIGIN_DIVISOR = 4;

    private static final int INITIAL_SERVER_DIVISOR = 8;

    /** Weights of a new sample, as divisors. */
    private static final int ORIGIN_DIVISOR = 8;

    private static final int SERVER_DIVISOR = 16;
    private static final int COST_DIVISOR = 32;

    /** Deviations above the average up to which a latency is usual. */
    private static final int EXPECTED_MAX_DEVIATIONS = 3;

    /** The unit of the hints on the wire. */
    private static final double MIN_COST_MS = 0.001;

    /** The longest deadline: no request may take longer. */
    private final double maxCostMs;

    private double originMs;
    private double serverMs;
    private double serverDeviationMs;
    private double averageCostMs;

    /**
     * Creates initial estimates.
     *
     * @throws IllegalArgumentException if there is no class
     */
    LatencyEstimates(List<ServiceClass> classes) {
        double shortestObjectiveMs = classes.stream()
                .mapToDouble(ServiceClass::latencyObjectiveMs)
                .min()
                .orElseThrow(() -> new IllegalArgumentException("settings name no class"));
        maxCostMs = classes.stream().mapToDouble(ServiceClass::deadlineMs).max().orElseThrow();
        originMs = shortestObjectiveMs / INITIAL_ORIGIN_DIVISOR;
        serverMs = shortestObjectiveMs / INITIAL_SERVER_DIVISOR;
        serverDeviationMs = serverMs;
    }

    /** Records a request's cost hint, if it has a plausible one; the first is the average. */
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

    /** Returns the cost that a request hints at as a multiple of the average; 1 without a plausible hint. */
    private double relativeCost(RoutingRequest request) {
        return hasPlausibleCost(request) && averageCostMs > 0 ? request.costHintMs() / averageCostMs : 1;
    }

    /** Clients write the hints: one that no request can mean must not outweigh all others. */
    private boolean hasPlausibleCost(RoutingRequest request) {
        return request.costHintMs() >= MIN_COST_MS && request.costHintMs() <= maxCostMs;
    }

    /** Returns the estimates for a snapshot. */
    LearnedLatency learned() {
        return new LearnedLatency(originMs, averageCostMs, serverMs, serverDeviationMs, 1);
    }

    /** Moves the estimates towards those of an earlier process, by their weight. */
    void restore(LearnedLatency learned) {
        originMs += (learned.originMs() - originMs) * learned.weight();
        serverMs += (learned.averageMs() - serverMs) * learned.weight();
        serverDeviationMs += (learned.deviationMs() - serverDeviationMs) * learned.weight();
        averageCostMs = averageCostMs > 0 || learned.weight() == 0 ? averageCostMs : learned.averageCost();
    }
}
