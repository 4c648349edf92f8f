package cacheproxy.siblings;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One query to several siblings. {@link PendingQueries} keeps it for a while after it is closed, so that late replies
 * can be distinguished from forged ones and measured.
 *
 * @param <A> the type of an address
 */
public final class PendingQuery<A> {
    private final int number;
    private final String key;
    private final Map<A, Boolean> awaitedByAddress = new LinkedHashMap<>();
    private final double sentMs;
    private final double deadlineMs;
    private int awaitedReplies;
    private boolean closed;

    PendingQuery(int number, String key, Iterable<A> queried, double nowMs, double waitMs) {
        this.number = number;
        this.key = key;
        queried.forEach(address -> awaitedByAddress.put(address, true));
        awaitedReplies = awaitedByAddress.size();
        sentMs = nowMs;
        deadlineMs = nowMs + waitMs;
    }

    /** Returns the number that the query and its replies carry. */
    public int number() {
        return number;
    }

    /** Closes the query: replies are late from now on. */
    public void close() {
        closed = true;
    }

    /** Returns whether the query has its result or was given up. */
    public boolean isClosed() {
        return closed;
    }

    /** Returns when the query was sent. */
    double sentMs() {
        return sentMs;
    }

    /** Returns the time until which replies are in time. */
    double deadlineMs() {
        return deadlineMs;
    }

    /**
     * Checks and records a reply with this query's number; {@code replyKey} is null if the protocol does not repeat the
     * key.
     */
    ReplyVerdict accept(double nowMs, A from, String replyKey, boolean hit) {
        Boolean awaited = awaitedByAddress.get(from);
        if (awaited == null) {
            return ReplyVerdict.NOT_QUERIED;
        }
        if (replyKey != null && !replyKey.equals(key)) {
            return ReplyVerdict.KEY_MISMATCH;
        }
        if (!awaited) {
            return ReplyVerdict.DUPLICATE;
        }
        awaitedByAddress.put(from, false);
        awaitedReplies--;
        return closed || nowMs > deadlineMs ? ReplyVerdict.LATE : acceptInTime(hit);
    }

    private ReplyVerdict acceptInTime(boolean hit) {
        if (hit) {
            close();
            return ReplyVerdict.FIRST_HIT;
        }
        if (awaitedReplies == 0) {
            close();
            return ReplyVerdict.ALL_MISSED;
        }
        return ReplyVerdict.MISS;
    }
}
