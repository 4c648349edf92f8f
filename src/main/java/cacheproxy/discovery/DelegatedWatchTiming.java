package cacheproxy.discovery;

/**
 * Timing of a {@link DelegatedWatch}, in milliseconds.
 *
 * @param heartbeatIntervalMs between two heartbeats of the lease holder; positive
 * @param heartbeatTimeoutMs for which a heartbeat is valid; each proxy adds up to half as much, so that not all start
 *     long-polling at once. Longer than {@code heartbeatIntervalMs}
 * @param maxPollIntervalMs the longest time between two polls of a proxy that does not long-poll; at least
 *     {@code heartbeatTimeoutMs}
 * @param coalescingWindowMs within which proxies poll after they hear of a newer version, so that several versions in a
 *     row cause one poll; not negative
 */
public record DelegatedWatchTiming(
        double heartbeatIntervalMs, double heartbeatTimeoutMs, double maxPollIntervalMs, double coalescingWindowMs) {
    /** @throws IllegalArgumentException if a value is out of its range */
    public DelegatedWatchTiming {
        if (!(heartbeatIntervalMs > 0)
                || !(heartbeatTimeoutMs > heartbeatIntervalMs)
                || !(maxPollIntervalMs >= heartbeatTimeoutMs)
                || !(coalescingWindowMs >= 0)) {
            throw new IllegalArgumentException(
                    "expected 0 < heartbeat interval < heartbeat timeout <= poll interval and"
                            + " a coalescing window of at least 0, but found " + heartbeatIntervalMs + ", "
                            + heartbeatTimeoutMs + ", " + maxPollIntervalMs + ", " + coalescingWindowMs + " ms");
        }
    }
}
