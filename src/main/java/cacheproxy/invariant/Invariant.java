package cacheproxy.invariant;

import java.util.Locale;

/** What must hold at each send, repeat, answer and close, whatever befalls the proxy. */
public enum Invariant {
    /** An attempt begins before its request's time is over. */
    DEADLINE_OPEN,
    /** A server is told at most the time that the client has left. */
    DEADLINE_WITHIN_CLIENTS,
    /** No attempt begins for a client that has left. */
    CLIENT_PRESENT,
    /** A repeat of a keyed request begins within the window in which servers drop repeats. */
    REPEAT_WINDOW_OPEN,
    /**
     * A request that may take effect once is not sent again where an earlier attempt may have run, nor beside another
     * that is out.
     */
    SINGLE_EFFECT,
    /** Where second copies are not allowed, one attempt of a request is out at a time. */
    SINGLE_ATTEMPT,
    /** Nothing is sent to a server that has been draining or gone for longer than the grace. */
    SERVER_ACCEPTS,
    /** A request has one final answer. */
    SINGLE_ANSWER,
    /** A client's connection that the proxy closes owes no answer. */
    CLOSE_OWES_NOTHING;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** The name that stands in logs and in the status. */
    public String label() {
        return label;
    }
}
