package cacheproxy.limits;

/**
 * Records whether any server has recently refused a connection of this proxy.
 *
 * <p>Where many proxies connect to servers that accept few connections, the second connection of one proxy takes the
 * only one of another. The proxy with two connections cannot see this at that server, but other servers refuse its
 * connections. So a refusal by any server limits this proxy to one connection per server for a while.
 */
public final class ConnectionShortage {
    /**
     * How long a refusal counts, in milliseconds: several times the longest wait of {@link ServerCapacity}, so that the
     * next attempt to connect falls within this time.
     */
    static final double DURATION_MS = 30_000;

    private double untilMs = Double.NEGATIVE_INFINITY;

    /** Returns whether this proxy may have at most one connection to each server. */
    public boolean isActive(double nowMs) {
        return nowMs < untilMs;
    }

    /** Records that a server has refused a connection. */
    void connectionRefused(double nowMs) {
        untilMs = nowMs + DURATION_MS;
    }
}
