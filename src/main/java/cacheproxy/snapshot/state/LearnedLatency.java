package cacheproxy.snapshot.state;

/**
 * Average latencies.
 *
 * @param originMs average latency of a fetch from the origin
 * @param averageCost average cost hint of a request; 0 if no request had one
 * @param averageMs average latency of a cache server
 * @param deviationMs mean deviation from {@code averageMs}
 * @param weight confidence in these values, 0 to 1; 1 when they are captured
 */
public record LearnedLatency(
        double originMs, double averageCost, double averageMs, double deviationMs, double weight) {}
