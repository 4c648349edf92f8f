package cacheproxy.proxy.upstream;

/**
 * Limits on the connections from this process to one server, for all pools together.
 *
 * @param connectTimeoutMs the time limit for establishing a connection
 * @param serverIdleTimeoutMs the time after which servers close idle connections
 * @param cacheConnections the maximum number of connections to one cache server
 * @param originConnections the maximum number of connections to one origin server
 * @param maxConnections the maximum number of connections to any server if some are occupied by long values for slow
 *     clients
 * @param streamsPerConnection the maximum number of attempts on one connection to a cache server
 */
public record ConnectionLimits(
        double connectTimeoutMs,
        double serverIdleTimeoutMs,
        int cacheConnections,
        int originConnections,
        int maxConnections,
        int streamsPerConnection) {
    /** The fraction of {@link #serverIdleTimeoutMs} for which a connection may be idle and still be used. */
    private static final double MAX_IDLE_FRACTION = 0.7;

    /** How long a connection may be idle and still be used, in milliseconds. */
    public double maxIdleMs() {
        return serverIdleTimeoutMs * MAX_IDLE_FRACTION;
    }
}
