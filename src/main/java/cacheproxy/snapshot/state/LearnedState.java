package cacheproxy.snapshot.state;

import java.util.List;

/**
 * What a routing policy has learned of its servers and keys, as far as it helps a policy that starts anew. Spans are
 * milliseconds from the moment at which the state was taken. Pending requests, tokens and health checks are not part of
 * it: they end with their process.
 *
 * @param servers servers with failed or overdue attempts; all others are healthy
 * @param latency average latencies
 * @param originLoad recent fetches from the origin
 * @param serverLoad recent attempts at cache servers
 * @param hotKeys the hot keys
 */
public record LearnedState(
        List<LearnedServer> servers,
        LearnedLatency latency,
        LearnedLoad originLoad,
        LearnedLoad serverLoad,
        LearnedHotKeys hotKeys) {
    /** Nothing has been learned. */
    public static final LearnedState NONE = new LearnedState(
            List.of(),
            new LearnedLatency(0, 0, 0, 0, 0),
            new LearnedLoad(0, 0),
            new LearnedLoad(0, 0),
            new LearnedHotKeys(0, List.of()));
}
