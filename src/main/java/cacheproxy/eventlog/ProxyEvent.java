package cacheproxy.eventlog;

import java.util.Locale;

/** The kinds of events that {@link EventLog} has lines for. A line begins with the kind's name in lower case. */
public enum ProxyEvent {
    /** A pool has taken a request. */
    REQUEST_RECEIVED,
    /** A request has had its final answer; the cause says why a refusal or failure was given. */
    REQUEST_ANSWERED,
    /** A request's client closed its connection before the answer. */
    REQUEST_ABANDONED,
    /** The first byte of an attempt is handed to the system; the cause says why it is a retry or a hedge. */
    ATTEMPT_STARTED,
    /** An attempt has its outcome. */
    ATTEMPT_ENDED,
    /** A client's connection has ended, by which side and why. */
    CLIENT_CLOSED,
    /** A connection to a server is up, or did not come up. */
    SERVER_CONNECTED,
    /** A connection to a server has ended. */
    SERVER_DISCONNECTED,
    /** The server list has an entry with another state or start time. */
    SERVER_LISTED,
    /** A call to discovery begins. */
    DISCOVERY_CALLED,
    /** A call to discovery has had a sound answer. */
    DISCOVERY_ANSWERED,
    /** A call to discovery has failed. */
    DISCOVERY_FAILED,
    /** The process itself: draining, standby, reloaded. */
    STATE_CHANGED,
    /** An action was stopped that would have violated an invariant. */
    ACTION_STOPPED,
    /** An invariant was violated. */
    INVARIANT_VIOLATED,
    /** Lines before this one are missing, as more came than are written in time. */
    LINES_DROPPED;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** The name that stands in the log. */
    public String label() {
        return label;
    }
}
