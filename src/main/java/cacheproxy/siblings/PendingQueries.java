package cacheproxy.siblings;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The queries that await replies. Checks whether an arriving datagram is a reply to one of them: it has the number of a
 * known query, comes from an address that was queried, is about the same key, is the first from that address, and is in
 * time. All other datagrams are counted by {@link ReplyVerdict} and change nothing. Reads no clock; confined to one
 * thread.
 *
 * @param <A> the type of an address
 */
public final class PendingQueries<A> {
    private final int maxQueries;
    private final double retentionMs;
    private final Map<Integer, PendingQuery<A>> queryByNumber = new LinkedHashMap<>();
    private final Map<ReplyVerdict, Long> countByVerdict = new EnumMap<>(ReplyVerdict.class);
    private int lastNumber;

    /**
     * The result of checking a datagram that claims to be a reply.
     *
     * @param elapsedMs the time since the query was sent; NaN if no known query has the number
     */
    public record Reply(ReplyVerdict verdict, double elapsedMs) {}

    /**
     * Creates an empty table.
     *
     * @param maxQueries the maximum number of known queries
     * @param retentionMs how long a query stays known after its deadline
     * @param firstNumber a random number, so that query numbers can't be guessed after a start
     */
    public PendingQueries(int maxQueries, double retentionMs, int firstNumber) {
        this.maxQueries = maxQueries;
        this.retentionMs = retentionMs;
        lastNumber = firstNumber;
    }

    /**
     * Opens a query.
     *
     * @param waitMs how long after now a reply is in time
     * @return the query; null if the maximum number of queries is already known
     */
    public PendingQuery<A> open(double nowMs, String key, Iterable<A> queried, double waitMs) {
        queryByNumber.values().removeIf(query -> isExpired(query, nowMs));
        if (queryByNumber.size() >= maxQueries) {
            return null;
        }
        do {
            lastNumber++;
        } while (queryByNumber.containsKey(lastNumber));
        PendingQuery<A> query = new PendingQuery<>(lastNumber, key, queried, nowMs, waitMs);
        queryByNumber.put(lastNumber, query);
        return query;
    }

    /**
     * Matches a datagram that claims to be a reply with its query.
     *
     * @param key null if the protocol does not repeat the key in replies
     */
    public Reply matchReply(double nowMs, int number, A from, String key, boolean hit) {
        PendingQuery<A> query = queryByNumber.get(number);
        ReplyVerdict verdict = query == null || isExpired(query, nowMs)
                ? ReplyVerdict.UNKNOWN_QUERY
                : query.accept(nowMs, from, key, hit);
        countByVerdict.merge(verdict, 1L, Long::sum);
        return new Reply(verdict, query == null ? Double.NaN : nowMs - query.sentMs());
    }

    private boolean isExpired(PendingQuery<A> query, double nowMs) {
        return nowMs > query.deadlineMs() + retentionMs;
    }

    /** Returns the number of datagrams with this verdict so far. */
    public long count(ReplyVerdict verdict) {
        return countByVerdict.getOrDefault(verdict, 0L);
    }

    /** Returns the number of known queries, including closed ones. */
    public int size() {
        return queryByNumber.size();
    }
}
