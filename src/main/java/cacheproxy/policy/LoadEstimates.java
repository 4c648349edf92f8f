package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedState;

/**
 * What the policy has learned of load, across servers.
 *
 * @param latencies average latencies and costs
 * @param originThrottle fetches from the origin: sent, and answered within their latency objective
 * @param serverThrottle attempts at cache servers: sent, and answered early enough for a fetch to follow
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

    /** Takes over what an earlier process has learned. */
    void restore(double nowMs, LearnedState learned) {
        latencies.restore(learned.latency());
        originThrottle.restore(nowMs, learned.originLoad());
        serverThrottle.restore(nowMs, learned.serverLoad());
        hotKeys.restore(learned.hotKeys(), nowMs);
    }
}
