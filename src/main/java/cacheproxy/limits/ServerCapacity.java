package cacheproxy.limits;

/**
 * Tracks whether one cache server may have capacity for another connection of this proxy.
 *
 * <p>A server accepts a bounded number of connections from all proxies together, does not announce the bound and closes
 * any connection above it. An attempt to connect delays a request and is unlikely to succeed while the other
 * connections stay open, so attempts after a refusal back off exponentially.
 */
public final class ServerCapacity {
    /** Wait after a first refusal, in milliseconds. */
    private static final double MIN_WAIT_MS = 500;

    /** Longest wait after repeated refusals, in milliseconds. */
    private static final double MAX_WAIT_MS = 4000;

    private static final double BACKOFF_FACTOR = 2;

    private final ConnectionShortage shortage;
    private double waitMs = MIN_WAIT_MS;
    private double fullUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates the state of one server.
     *
     * @param shortage shared by all servers
     */
    public ServerCapacity(ConnectionShortage shortage) {
        this.shortage = shortage;
    }

    /** Records that the server has refused a new connection. */
    public void connectionRefused(double nowMs) {
        fullUntilMs = nowMs + waitMs;
        waitMs = Math.min(MAX_WAIT_MS, BACKOFF_FACTOR * waitMs);
        shortage.connectionRefused(nowMs);
    }

    /** Records that the server has accepted a new connection, which ends the backoff. */
    public void connectionAccepted() {
        waitMs = MIN_WAIT_MS;
        fullUntilMs = Double.NEGATIVE_INFINITY;
    }

    /**
     * Returns whether another connection to the server may be attempted.
     *
     * @param openConnections open connections to the server, without those that are occupied by long responses
     */
    public boolean mayOpen(double nowMs, int openConnections) {
        return nowMs >= fullUntilMs && (openConnections == 0 || !shortage.isActive(nowMs));
    }
}
