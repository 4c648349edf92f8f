package cacheproxy.limits;

/**
 * Ranks client connections for eviction when there are too many of them.
 *
 * <p>Connections without an open request are closed first: a client whose next request crosses the close sends it again
 * on a new connection. A client's first request that crosses the close is lost, so connections that have not served a
 * request come second, and only after a grace time. Connections with a partly received request come last, and only once
 * the client has stopped writing.
 */
public final class ConnectionEviction {
    /** Time within which a new client must begin its first request, in milliseconds. */
    public static final double FIRST_REQUEST_GRACE_MS = 150;

    /** A client that has sent no more of an incomplete request for this long, in milliseconds, has stopped writing. */
    public static final double STALLED_WRITE_MS = 600;

    /** Added to the rank of an idle connection that has served a request; exceeds any quiet time in milliseconds. */
    private static final double SERVED_RANK_BASE = 2e12;

    /** Added to the rank of an idle connection that has not served a request. */
    private static final double UNUSED_RANK_BASE = 1e12;

    private static final double NOT_EVICTABLE = -1;

    private ConnectionEviction() {}

    /**
     * Returns the eviction rank of a connection. The one with the highest rank is closed first.
     *
     * @param idle whether no request is open on the connection and none has been begun
     * @param hasServedRequest whether a whole request has ever been received on it
     * @param responsePending whether a response is pending or not yet fully written
     * @param quietMs milliseconds since bytes were last received or sent; negative values count as 0
     * @return the rank; negative if the connection must not be closed
     */
    public static double rank(boolean idle, boolean hasServedRequest, boolean responsePending, double quietMs) {
        if (responsePending) {
            return NOT_EVICTABLE;
        }
        double quiet = Math.max(0, quietMs);
        if (!idle) {
            return quiet >= STALLED_WRITE_MS ? quiet : NOT_EVICTABLE;
        }
        if (hasServedRequest) {
            return SERVED_RANK_BASE + quiet;
        }
        return quiet >= FIRST_REQUEST_GRACE_MS ? UNUSED_RANK_BASE + quiet : NOT_EVICTABLE;
    }
}
