package cacheproxy.proxy.upstream;

/**
 * Bounds on the connections from this process to one server, for all pools together.
 *
 * @param connectTimeoutMs how long a connection may take to come up
 * @param serverIdleTimeoutMs after how long servers close idle connections
 * @param cacheConnections connections to one cache server
 * @param originConnections connections to one origin server
 * @param maxConnections connections to any server, where some are taken by long values that slow clients read
 * @param streamsPerConnection attempts on one connection to a cache server
 */
public record ConnectionLimits(
        double connectTimeoutMs,
        double serverIdleTimeoutMs,
        int cacheConnections,
        int originConnections,
        int maxConnections,
        int streamsPerConnection) {
    /** How much of {@link #serverIdleTimeoutMs} a connection may be idle for before it is used or closed. */
    private static final double MAX_IDLE_FRACTION = 0.7;

    /** For how long a connection may be idle and still be used. */
    public double maxIdleMs() {
        return serverIdleTimeoutMs * MAX_IDLE_FRACTION;
    }
}
