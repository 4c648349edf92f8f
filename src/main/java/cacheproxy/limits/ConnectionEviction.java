package cacheproxy.limits;

/**
 * Which of the clients' connections makes room where there are too many. Ending one on which nothing is open costs its
 * client nothing: one that has crossed its end goes out again on a new one. A first request that crosses it is lost to
 * its client, so those that have never asked come after, and only once they have had the time to; and last those that
 * have begun a command and stand still, as true clients may write slowly, too, but go on writing. Times in
 * milliseconds.
 */
public final class ConnectionEviction {
    /** What a client that means to ask needs to begin, on a busy machine. */
    public static final double FIRST_REQUEST_GRACE_MS = 150;
    /** A client that writes slowly does not pause for as long. */
    public static final double STALLED_WRITE_MS = 600;

    /** What makes room sooner has the higher rank. */
    private static final double SERVED_RANK_BASE = 2e12;

    private static final double UNUSED_RANK_BASE = 1e12;
    private static final double NOT_EVICTABLE = -1;

    private ConnectionEviction() {}

    /**
     * How soon a connection is to make room; negative: not at all.
     *
     * @param idle whether nothing is open on it and nothing begun
     * @param asked whether a whole command has ever come
     * @param owed whether an answer is owed or still on its way
     * @param quietMs since anything came or went
     */
    public static double rank(boolean idle, boolean hasServedRequest, boolean responsePending, double quietMs) {
        double quiet = Math.max(0, quietMs);
        if (responsePending) {
            return NOT_EVICTABLE;
        }
        if (idle) {
            return hasServedRequest
                    ? SERVED_RANK_BASE + quiet
                    : quiet >= FIRST_REQUEST_GRACE_MS ? UNUSED_RANK_BASE + quiet : NOT_EVICTABLE;
        }
        return quiet >= STALLED_WRITE_MS ? quiet : NOT_EVICTABLE;
    }
}
