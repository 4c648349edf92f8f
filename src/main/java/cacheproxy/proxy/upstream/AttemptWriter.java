package cacheproxy.proxy.upstream;

/**
 * Writes the attempts that wait on one connection, in order, for as long as the connection is writable. Everything that
 * is written in one turn of the event loop is flushed together. Used on the event loop only.
 */
final class AttemptWriter {
    private final UpstreamConnection connection;
    private final AttemptQueue attempts;
    private final Runnable flush = this::flush;
    /** Whether input is being handled; no attempt is written until that has ended. */
    private boolean reading;

    private boolean flushPending;

    /** Creates the writer of a connection that is not established yet. */
    AttemptWriter(UpstreamConnection connection, AttemptQueue attempts) {
        this.connection = connection;
        this.attempts = attempts;
    }

    /**
     * Called when the handling of input begins or ends. No attempt is written in between: surplus bytes that follow a
     * response directly would be taken for the response to an attempt that is written now, as the origin's responses
     * carry no id.
     */
    void setReading(boolean handling) {
        reading = handling;
        writeWaiting();
    }

    /**
     * Writes the waiting attempts in order, for as long as the connection is writable: the deadline that is written
     * with a request is accurate only if the request is sent soon, not if it is buffered behind a long value. Attempts
     * that may no longer begin are removed.
     */
    void writeWaiting() {
        while (attempts.hasWaiting()
                && connection.isConnected()
                && !reading
                && !connection.isClosed()
                && connection.channel().isActive()
                && connection.channel().isWritable()) {
            Attempt next = attempts.firstWaiting();
            if (next.mayBegin()) {
                attempts.begin(next);
                write(next);
            } else {
                attempts.removeWaiting(next);
            }
        }
    }

    private void write(Attempt attempt) {
        attempt.onBegin();
        connection
                .codec()
                .write(connection.channel(), attempt, connection.address())
                .addListener(done -> {
                    if (done.isSuccess()) {
                        attempt.markWritten();
                    }
                });
        if (!flushPending) {
            flushPending = true;
            connection.loopContext().flushLater(flush);
        }
    }

    private void flush() {
        flushPending = false;
        connection.channel().flush();
    }
}
