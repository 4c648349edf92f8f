package cacheproxy.discovery;

/**
 * Timing of a {@link DelegatedWatch}, in milliseconds.
 *
 * @param heartbeatIntervalMs the time between two heartbeats of the lease holder; positive
 * @param heartbeatTimeoutMs how long a heartbeat is valid, longer than {@code heartbeatIntervalMs}; each proxy adds up
 *     to half as much at random, so that not all start long-polling at once
 * @param maxPollIntervalMs the longest time between two polls of a proxy that does not long-poll; at least
 *     {@code heartbeatTimeoutMs}
 * @param coalescingWindowMs the time within which proxies poll after they are notified of a newer version, so that
 *     several consecutive versions cause one poll; not negative
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
