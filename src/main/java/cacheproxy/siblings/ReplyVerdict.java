package cacheproxy.siblings;

/** The result of the check in {@link PendingQueries} of a datagram that claims to be a reply to a query. */
public enum ReplyVerdict {
    /** The first hit: the query is closed. */
    FIRST_HIT,
    /** A miss, while other siblings have yet to reply. */
    MISS,
    /** A miss from the last sibling that had yet to reply: the query is closed. */
    ALL_MISSED,
    /** A genuine reply that arrived after the query was closed or its waiting time was over. */
    LATE,
    /** A second reply from the same sibling. */
    DUPLICATE,
    /** A datagram from an address to which the query was not sent. */
    NOT_QUERIED,
    /** A datagram whose number is not that of a known query. */
    UNKNOWN_QUERY,
    /** A datagram about another key than the query's. */
    KEY_MISMATCH
}
