package cacheproxy.limits;

/**
 * Whether servers have recently refused connections of this proxy, over all servers.
 *
 * <p>Where many proxies connect to servers with few connections, the second connection of one proxy takes the only one
 * of another. The proxy with two cannot see this at that server, but is itself refused at others. So a refusal at any
 * server limits this proxy to one connection a server for a while.
 */
public final class ConnectionShortage {
    /**
     * How long a refusal counts, in milliseconds: several times the longest wait of {@link ServerCapacity}, so that the
     * next attempt falls within.
     */
    static final double DURATION_MS = 30_000;

    private double untilMs = Double.NEGATIVE_INFINITY;

    /** Whether a server may have one connection of this proxy at most. */
    public boolean isActive(double nowMs) {
        return nowMs < untilMs;
    }

    /** Records that a server has refused a connection. */
    void connectionRefused(double nowMs) {
        untilMs = nowMs + DURATION_MS;
    }
}
