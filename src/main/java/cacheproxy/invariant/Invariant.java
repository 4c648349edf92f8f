package cacheproxy.invariant;

import java.util.Locale;

/** The invariants of sending, retrying, responding and closing. */
public enum Invariant {
    /** An attempt begins before its request's deadline. */
    DEADLINE_OPEN,
    /** The deadline passed on to a server is not later than the client's. */
    DEADLINE_WITHIN_CLIENTS,
    /** No attempt begins for a client that has disconnected. */
    CLIENT_PRESENT,
    /** A retry of a request with an idempotency key begins within the window in which servers drop duplicates. */
    REPEAT_WINDOW_OPEN,
    /**
     * A request that must take effect at most once is not sent again if an earlier attempt may have been processed, nor
     * while another is in flight.
     */
    SINGLE_EFFECT,
    /** Where hedging is not allowed, one attempt of a request is in flight at a time. */
    SINGLE_ATTEMPT,
    /** Nothing is sent to a server that has been draining or gone for longer than the grace period. */
    SERVER_ACCEPTS,
    /** A server in its slow start is sent no more than this proxy's part of its budget. */
    SLOW_START_BUDGET,
    /** A request has one final response. */
    SINGLE_ANSWER,
    /** Every response line to a client has one line end, at its end. */
    SINGLE_LINE,
    /** The proxy closes no client connection on which a response is pending. */
    CLOSE_OWES_NOTHING,
    /** The proxy ends no client connection while the operating system holds requests that have waited on it. */
    CLOSE_LEAVES_NOTHING_UNREAD;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the name in logs and in the status; operators' scripts read it. */
    public String label() {
        return label;
    }
}
