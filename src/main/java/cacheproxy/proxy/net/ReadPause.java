package cacheproxy.proxy.net;

import java.util.Locale;

/** Why the commands of a client connection are not read. */
public enum ReadPause {
    /** The connection has had its turn; others have theirs first. */
    TURN_USED,
    /** It has as many open requests as it may have, or is being sent a value that may break off. */
    OPEN_REQUESTS,
    /** The client does not read its responses. */
    UNREAD_RESPONSES,
    /** The commands of all connections have taken the memory that there is for them. */
    NO_MEMORY;

    /** The name for operators. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
