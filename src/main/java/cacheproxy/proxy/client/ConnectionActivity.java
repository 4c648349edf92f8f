package cacheproxy.proxy.client;

/**
 * Records when a client connection was accepted, last active and last written to, and evaluates the timeouts that count
 * from these times. Times are milliseconds of {@link cacheproxy.proxy.upstream.EventLoopContext#nowMs}.
 */
final class ConnectionActivity {
    /**
     * How long a client can go without reading a response, or without closing a connection that the proxy has ended.
     */
    private static final double WRITE_TIMEOUT_MS = 10_000;
    /**
     * Time from accepting a connection to the first byte of a request; the connection of a silent client must be closed
     * within 3 s.
     */
    private static final double FIRST_BYTE_TIMEOUT_MS = 2000;
    /**
     * How long a client can pause within a request, and the time from accepting its connection to its first complete
     * request. A client is allowed 2 s to send that request, and its connection must be closed within 3 s.
     */
    private static final double REQUEST_TIMEOUT_MS = 2600;
    /** Time from accepting a connection until its first request has arrived, allowing for a busy machine. */
    private static final double FIRST_REQUEST_GRACE_MS = 500;
    /** How long the acknowledgement of a response can take: several round trips and a delayed acknowledgement. */
    private static final double MAX_ACKNOWLEDGEMENT_DELAY_MS = 100;

    private double acceptedMs;
    private double lastActiveMs;
    private double lastWriteMs = Double.NEGATIVE_INFINITY;
    private boolean hasSentCommand;

    /** Records that the connection has been accepted. */
    void accepted(double nowMs) {
        acceptedMs = nowMs;
        lastActiveMs = nowMs;
    }

    /** Records that bytes have been received, or that the client has read some. */
    void active(double nowMs) {
        lastActiveMs = nowMs;
    }

    /** Records that a response, or a part of one, has been written. */
    void responseWritten(double nowMs) {
        lastActiveMs = nowMs;
        lastWriteMs = nowMs;
    }

    /** Records that a complete command has been received. */
    void commandReceived() {
        hasSentCommand = true;
    }

    /** Returns whether a complete command has ever been received. */
    boolean hasSentCommand() {
        return hasSentCommand;
    }

    /** Returns whether the client has sent a complete command, or has had the time to send one. */
    boolean hasHadTimeToSendCommand(double nowMs) {
        return hasSentCommand || nowMs - acceptedMs > FIRST_REQUEST_GRACE_MS;
    }

    /** Milliseconds since bytes were last received or sent. */
    double inactiveMs(double nowMs) {
        return nowMs - lastActiveMs;
    }

    /** Returns whether the last response may not have been acknowledged by the client yet. */
    boolean mayNotHaveLastResponse(double nowMs) {
        return nowMs - lastWriteMs < MAX_ACKNOWLEDGEMENT_DELAY_MS;
    }

    /**
     * Returns whether the client has stopped in the middle of a request, has stopped reading responses, or has never
     * sent a complete request. A client that waits for its response is not stalled, however long that takes.
     *
     * @param awaitsClient whether the client has yet to read data that was written, or to close a connection that was
     *     ended
     * @param requestIncomplete whether a request is partly received
     * @param idle whether no request is open or partly received
     */
    boolean isStalled(double nowMs, boolean awaitsClient, boolean requestIncomplete, boolean idle) {
        double inactiveMs = inactiveMs(nowMs);
        return (awaitsClient && inactiveMs > WRITE_TIMEOUT_MS)
                || (requestIncomplete && inactiveMs > REQUEST_TIMEOUT_MS)
                || (!hasSentCommand && nowMs - acceptedMs > (idle ? FIRST_BYTE_TIMEOUT_MS : REQUEST_TIMEOUT_MS));
    }
}
