package cacheproxy.proxy.memory;

import java.util.Locale;

/** What memory is held for. Each purpose has a guaranteed part of the account, which no other purpose can take. */
public enum MemoryPurpose {
    /** A response that its client is sent next, and that has read everything before it. */
    RESPONSE,
    /** Responses that wait for those before them, or that their client has not read yet. */
    QUEUED_RESPONSE,
    /** Parts of long values that are sent as they arrive. */
    STREAMED_VALUE,
    /** Long values that are held until they are whole, as other responses wait behind them. */
    HELD_VALUE,
    /** Long bodies that are buffered because their length was not announced. */
    UNKNOWN_LENGTH_BODY,
    /** Values of writes. */
    WRITE_VALUE,
    /** Commands that have been decoded and not been answered; on the heap. */
    COMMAND,
    /** Bytes that have been read from clients and not been decoded, such as incomplete lines. */
    INPUT;

    /** The name for operators. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
