package cacheproxy.eventlog;

import java.util.Locale;

/** The events of an {@link EventLog}. A line begins with the event's name in lower case, which scripts read. */
public enum ProxyEvent {
    /** A pool has received a request. */
    REQUEST_RECEIVED,
    /** A request has received its final response; the cause says why it was rejected or failed. */
    REQUEST_ANSWERED,
    /** The client of a request closed its connection before the response. */
    REQUEST_ABANDONED,
    /**
     * The first byte of an attempt has been passed to the kernel; the cause says why the attempt is a retry or a hedge.
     */
    ATTEMPT_STARTED,
    /** An attempt has ended, with its outcome. */
    ATTEMPT_ENDED,
    /** The proxy ends a client connection, with the reason, what it owes, and what it and the system hold unread. */
    CLIENT_ENDED,
    /** A client connection has ended, with the side that closed it and the reason. */
    CLIENT_CLOSED,
    /** A connection to a server has been opened, or could not be opened. */
    SERVER_CONNECTED,
    /** A connection to a server has ended. */
    SERVER_DISCONNECTED,
    /** A server of the endpoint list has a new state or start time. */
    SERVER_LISTED,
    /** A server has begun its slow start, with its age and the budget of this proxy for it. */
    SLOW_START_BEGAN,
    /** A server is warm, gone or has restarted, with the attempts that were sent and those that were withheld. */
    SLOW_START_ENDED,
    /** A poll has been sent to discovery. */
    DISCOVERY_CALLED,
    /** A poll of discovery has received a valid response. */
    DISCOVERY_ANSWERED,
    /** A poll of discovery has failed. */
    DISCOVERY_FAILED,
    /** The process has changed its state, for example to draining or standby, or has reloaded its configuration. */
    STATE_CHANGED,
    /** An action has been prevented because it would have violated an invariant. */
    ACTION_STOPPED,
    /** An invariant has been violated. */
    INVARIANT_VIOLATED,
    /** Lines before this one were dropped because a bound of the log was reached. */
    LINES_DROPPED;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the name of the event in the log. */
    public String label() {
        return label;
    }
}
