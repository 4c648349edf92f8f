package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedState;

/**
 * The policy's estimates of latency and load, across servers.
 *
 * @param latencies average latencies and costs
 * @param originThrottle fetches from the origin: sent, and answered within their latency objective
 * @param serverThrottle attempts at cache servers: sent, and answered early enough to leave time for a fetch from the
 *     origin
 * @param hotKeys recent requests by key
 */
record LoadEstimates(
        LatencyEstimates latencies,
        AdaptiveThrottle originThrottle,
        AdaptiveThrottle serverThrottle,
        HotKeyTracker hotKeys) {

    /** Returns initial estimates for the settings' service classes. */
    static LoadEstimates initial(PolicySettings settings) {
        return new LoadEstimates(
                new LatencyEstimates(settings.classes()),
                new AdaptiveThrottle(),
                new AdaptiveThrottle(),
                new HotKeyTracker());
    }

    /** Restores the estimates of an earlier process. */
    void restore(double nowMs, LearnedState learned) {
        latencies.restore(learned.latency());
        originThrottle.restore(nowMs, learned.originLoad());
        serverThrottle.restore(nowMs, learned.serverLoad());
        hotKeys.restore(learned.hotKeys(), nowMs);
    }
}
