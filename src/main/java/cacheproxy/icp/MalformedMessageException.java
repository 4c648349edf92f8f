package cacheproxy.icp;

/**
 * Thrown for a datagram that is not an ICP message. The exception's message says what is wrong, without the datagram's
 * content.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Records no stack trace, so that a flood of malformed datagrams stays cheap. */
    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
