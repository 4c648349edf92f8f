package cacheproxy.proxy.upstream;

/**
 * Writes the attempts that wait on one connection, in their order, as far as the connection takes them, and flushes
 * what has been written in one turn of the event loop together. Used on the event loop only.
 */
final class AttemptWriter {
    private final UpstreamConnection connection;
    private final AttemptQueue attempts;
    private final Runnable flush = this::flush;
    /** Whether input is being handled, so that attempts are not written until its end. */
    private boolean reading;

    private boolean flushPending;

    /** Creates the writer of a connection that is not up yet. */
    AttemptWriter(UpstreamConnection connection, AttemptQueue attempts) {
        this.connection = connection;
        this.attempts = attempts;
    }

    /**
     * Input begins to be handled, or has been handled. Attempts are not written meanwhile: bytes that follow a response
     * at once are not part of it, and would pass for the response of an attempt that is written now, as the origin's
     * responses carry no id.
     */
    void setReading(boolean handling) {
        reading = handling;
        writeWaiting();
    }

    /**
     * Writes those that wait, in their order, for as long as the connection takes more: the deadline that is written
     * with a request holds only if it goes out soon, not if it is buffered behind a long value. Those that may not
     * begin any more are removed.
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
