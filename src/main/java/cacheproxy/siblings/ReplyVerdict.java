package cacheproxy.siblings;

/** What {@link PendingQueries} has found out about a datagram that claims to be a reply to a query. */
public enum ReplyVerdict {
    /** The first hit: the query is closed. */
    FIRST_HIT,
    /** A miss, while other siblings have yet to reply. */
    MISS,
    /** The last of the siblings has reported a miss: the query is closed. */
    ALL_MISSED,
    /** A genuine reply after the query was closed or its wait was over. */
    LATE,
    /** A second reply of the same sibling. */
    DUPLICATE,
    /** From an address to which the query was not sent. */
    NOT_QUERIED,
    /** With the number of no known query. */
    UNKNOWN_QUERY,
    /** About another key than the query's. */
    KEY_MISMATCH
}
