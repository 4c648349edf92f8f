package cacheproxy.icp;

/** A datagram that is not an ICP message; the message says what is wrong, without the datagram's content. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Takes no stack trace, so that a flood of malformed datagrams stays cheap. */
    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
