package cacheproxy.limits;

/**
 * Whether a cache node may have room for a connection of this proxy. A node takes a bounded number for all proxies
 * together and tells nobody what it is; one too many it ends with a refusal. Each try costs an attempt and a request's
 * time, and says nothing new while the others keep theirs, so after one that was turned away some time passes, and ever
 * more.
 *
 * <p>Times are milliseconds on the caller's clock.
 */
public final class ServerCapacity {
    /**
     * What all nodes have shown together. Where proxies are so many that some find no room, second connections of
     * others take it: requests that go out on one are begun all the same, only answered in turn. Who holds two at a
     * node can't see there that others have none, but finds itself without at another.
     */
    public static final class ConnectionShortage {
        /**
         * How long one that was turned away counts: several of the longest waits, so that the next try falls within.
         */
        static final double DURATION_MS = 30_000;

        private double untilMs = Double.NEGATIVE_INFINITY;

        /** Whether a server is to get one connection at most. */
        public boolean isActive(double nowMs) {
            return nowMs < untilMs;
        }
    }

    /** Others' connections end by chance, at a restart, or for having stood idle. */
    private static final double MIN_WAIT_MS = 500;

    private static final double MAX_WAIT_MS = 4000;

    private final ConnectionShortage shortage;
    private double waitMs = MIN_WAIT_MS;
    private double fullUntilMs = Double.NEGATIVE_INFINITY;

    /** Of one node; the shortage is shared by all. */
    public ServerCapacity(ConnectionShortage shortage) {
        this.shortage = shortage;
    }

    /** A new connection was turned away. */
    public void connectionRefused(double nowMs) {
        fullUntilMs = nowMs + waitMs;
        waitMs = Math.min(MAX_WAIT_MS, 2 * waitMs);
        shortage.untilMs = nowMs + ConnectionShortage.DURATION_MS;
    }

    /** A new connection was taken. */
    public void connectionAccepted() {
        waitMs = MIN_WAIT_MS;
        fullUntilMs = Double.NEGATIVE_INFINITY;
    }

    /** Whether a connection may be tried where so many stand, not counting those taken up by long answers. */
    public boolean mayOpen(double nowMs, int openConnections) {
        return nowMs >= fullUntilMs && (openConnections == 0 || !shortage.isActive(nowMs));
    }
}
