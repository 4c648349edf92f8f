package cacheproxy.snapshot.state;

import java.util.List;

/**
 * What a routing policy has learned about its servers and keys, as far as it is useful to a policy after a restart.
 * Durations are in milliseconds from the moment at which the state was captured. Pending requests, tokens and health
 * checks are not part of it: they end with their process.
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
    /** The state in which nothing has been learned. */
    public static final LearnedState NONE = new LearnedState(
            List.of(),
            new LearnedLatency(0, 0, 0, 0, 0),
            new LearnedLoad(0, 0),
            new LearnedLoad(0, 0),
            new LearnedHotKeys(0, List.of()));
}
