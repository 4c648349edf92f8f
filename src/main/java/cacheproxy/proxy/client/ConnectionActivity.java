package cacheproxy.proxy.client;

/**
 * When a client connection was accepted, last active and last written to, and which timeouts follow from that. Times
 * are milliseconds of {@link cacheproxy.proxy.upstream.EventLoopContext#nowMs}.
 */
final class ConnectionActivity {
    /** How long a client may go without taking a response, or without closing a connection that the proxy has ended. */
    private static final double WRITE_TIMEOUT_MS = 10_000;
    /** From accepting a connection to the first byte of a request; a silent client is to be closed within 3 s. */
    private static final double FIRST_BYTE_TIMEOUT_MS = 2000;
    /**
     * How long a client may pause within a request, and from accepting to its first whole request. It may use 2 s to
     * write that one, and is to be closed within 3 s.
     */
    private static final double REQUEST_TIMEOUT_MS = 2600;
    /** From accepting a connection until its first request has arrived, on a busy machine. */
    private static final double FIRST_REQUEST_GRACE_MS = 500;
    /** How long the acknowledgement of a response may take: several round trips and a delayed acknowledgement. */
    private static final double MAX_ACKNOWLEDGEMENT_DELAY_MS = 100;

    private double acceptedMs;
    private double lastActiveMs;
    private double lastWriteMs = Double.NEGATIVE_INFINITY;
    private boolean hasSentCommand;

    /** The connection has been accepted. */
    void accepted(double nowMs) {
        acceptedMs = nowMs;
        lastActiveMs = nowMs;
    }

    /** Bytes have been read, or the client has taken some. */
    void active(double nowMs) {
        lastActiveMs = nowMs;
    }

    /** A response, or a part of one, has been written. */
    void responseWritten(double nowMs) {
        lastActiveMs = nowMs;
        lastWriteMs = nowMs;
    }

    /** A whole command has been received. */
    void commandReceived() {
        hasSentCommand = true;
    }

    /** Whether a whole command has ever been received. */
    boolean hasSentCommand() {
        return hasSentCommand;
    }

    /** Whether the client has sent a whole command, or has had the time to. */
    boolean hasHadTimeToSendCommand(double nowMs) {
        return hasSentCommand || nowMs - acceptedMs > FIRST_REQUEST_GRACE_MS;
    }

    /** Milliseconds since bytes were last received or sent. */
    double inactiveMs(double nowMs) {
        return nowMs - lastActiveMs;
    }

    /** Whether the client may not have acknowledged the last response yet. */
    boolean mayNotHaveLastResponse(double nowMs) {
        return nowMs - lastWriteMs < MAX_ACKNOWLEDGEMENT_DELAY_MS;
    }

    /**
     * Whether the client has stopped to write a request or to take a response, or has never sent a whole request. A
     * client that waits for its response is not stalled, however long that takes.
     *
     * @param awaitsClient whether the client has written data to take, or a connection to close
     * @param requestIncomplete whether a request has begun and is not complete
     * @param idle whether no request is open or has begun
     */
    boolean isStalled(double nowMs, boolean awaitsClient, boolean requestIncomplete, boolean idle) {
        double inactiveMs = inactiveMs(nowMs);
        return (awaitsClient && inactiveMs > WRITE_TIMEOUT_MS)
                || (requestIncomplete && inactiveMs > REQUEST_TIMEOUT_MS)
                || (!hasSentCommand && nowMs - acceptedMs > (idle ? FIRST_BYTE_TIMEOUT_MS : REQUEST_TIMEOUT_MS));
    }
}
