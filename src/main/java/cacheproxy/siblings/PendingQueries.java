package cacheproxy.siblings;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The queries that await replies, and the check which of the datagrams that arrive is a reply to one: it has the number
 * of a known query, comes from an address that was queried, is about the same key, is the first from there, and is in
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
     * What a datagram that claims to be a reply was found to be.
     *
     * @param elapsedMs since the query was sent; NaN where the number is that of no known query
     */
    public record Reply(ReplyVerdict verdict, double elapsedMs) {}

    /**
     * Creates an empty table.
     *
     * @param maxQueries number of queries that are known at once
     * @param retentionMs for how long a query is known after its deadline
     * @param firstNumber a random number, so that the numbers after a start can't be guessed
     */
    public PendingQueries(int maxQueries, double retentionMs, int firstNumber) {
        this.maxQueries = maxQueries;
        this.retentionMs = retentionMs;
        lastNumber = firstNumber;
    }

    /**
     * Opens a query.
     *
     * @param waitMs for how long replies are in time
     * @return the query; null where as many as allowed are known already
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
     * @param key null where the protocol does not repeat the key in replies
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

    /** The number of datagrams with this verdict so far. */
    public long count(ReplyVerdict verdict) {
        return countByVerdict.getOrDefault(verdict, 0L);
    }

    /** The number of queries that are known, closed ones included. */
    public int size() {
        return queryByNumber.size();
    }
}
