package cacheproxy.proxy.client;

import cacheproxy.proxy.net.TurnScheduler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Ends a client connection by the proxy's own choice, once nothing is owed to the client: no response, and nothing that
 * the operating system has received and the proxy has not read. Whether that holds is looked up right before the end;
 * the last poll of the event loop says only what held then. The ends of many connections are spread over turns of the
 * event loop.
 *
 * <p>A connection whose client always has a request out is never between requests. It is ended in two steps: further
 * requests are rejected ({@link #rejectRequests}), and if the client sends them without a gap, it is no longer read
 * ({@link #endReading}).
 */
final class ConnectionEnd implements TurnScheduler.Work {
    /** How long a client that never stops sending is answered by rejections before its connection ends. */
    private static final double MAX_REJECTING_MS = 50;
    /** How often what has arrived is read in a row before a stalled connection is closed nevertheless. */
    private static final int MAX_LOOKS = 4;

    private final ClientConnection connection;
    private final ConnectionOwner owner;
    private final ResponseQueue responses;
    private final ReadControl readControl;
    private final ConnectionCloser closer;
    private final ConnectionActivity activity;
    private boolean scheduled;
    private boolean awaitsFlush;
    /** Whether reading has ended and no complete command is left in what was read. */
    private boolean inputDecoded;
    /** Since when the client does nothing but send requests that are rejected; not a number if it does not. */
    private double rejectingSinceMs = Double.NaN;

    ConnectionEnd(
            ClientConnection connection,
            ConnectionOwner owner,
            ResponseQueue responses,
            ReadControl readControl,
            ConnectionCloser closer,
            ConnectionActivity activity) {
        this.connection = connection;
        this.owner = owner;
        this.responses = responses;
        this.readControl = readControl;
        this.closer = closer;
        this.activity = activity;
    }

    // ---- when

    /**
     * Returns whether the connection is to be ended: everything that was read has its response, and it is being closed
     * or its owner wants it closed between requests.
     */
    boolean isDue() {
        if (closer.isFinished()
                || !responses.isEmpty()
                || !connection.immediateResponses().isEmpty()) {
            return false;
        }
        if (closer.isClosing()) {
            return hasReadingEnded() ? inputDecoded : !connection.status().mayHoldCommands();
        }
        return owner.closesWhenIdle(connection) && connection.status().isIdle();
    }

    /** Returns whether the client has all its responses and does nothing but send requests that are rejected. */
    boolean onlyRejects() {
        return closer.isClosing() && !closer.isFinished() && !hasReadingEnded() && responses.isEmpty();
    }

    /** Ends the connection in this turn of the event loop or in a later one, if it is due to end by then. */
    void schedule() {
        if (!scheduled) {
            scheduled = true;
            connection.loopContext().turns().scheduleBacklog(this);
        }
    }

    /** Ends the connection now if it is due to end; while its own input is being handled, later. */
    void attempt() {
        if (connection.isHandlingInput()) {
            schedule();
        } else {
            endIfDue();
        }
    }

    @Override
    public boolean runSlice() {
        scheduled = false;
        endIfDue();
        return false;
    }

    private void endIfDue() {
        if (onlyRejects() && hasRejectedForLong()) {
            readForTheLastTime();
        }
        if (!isDue()) {
            return;
        }
        if (hasReadingEnded()) {
            closer.finish(connection.context());
        } else if (connection.status().hasUnwrittenBytes()) {
            scheduleOnceFlushed();
        } else {
            endUnlessUnread();
        }
    }

    /** Shutting down the output would discard what the operating system has not taken yet. */
    private void scheduleOnceFlushed() {
        if (!awaitsFlush) {
            awaitsFlush = true;
            connection.context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> {
                awaitsFlush = false;
                schedule(); // the written bytes are still counted within this call
            });
        }
    }

    private void endUnlessUnread() {
        ByteBuf received = closer.endUnlessUnread(connection.context(), CloseCause.FINISHED);
        if (received == null) {
            return;
        }
        connection.receive(received);
        if (isDue()) {
            schedule();
        }
    }

    // ---- a client that always has a request out

    /**
     * Rejects the requests that come from now on; those that have been decoded by now are served. The connection ends
     * once all have their responses and nothing is unread. The rest of an incomplete command is no request: its client
     * sends it again on another connection.
     */
    void rejectRequests() {
        if (!closer.isClosing()) {
            closer.rejectRequests();
            connection.writeResponses();
        }
    }

    private boolean hasRejectedForLong() {
        double nowMs = connection.loopContext().nowMs();
        if (Double.isNaN(rejectingSinceMs)) {
            rejectingSinceMs = nowMs;
        }
        return nowMs - rejectingSinceMs > MAX_REJECTING_MS;
    }

    /** Ends the reading from a client that never stops sending: what it sends after this look stays unread. */
    private void readForTheLastTime() {
        ByteBuf received = connection
                .loopContext()
                .receiveQueue()
                .read(connection.context().channel());
        if (received != null) {
            connection.receive(received);
        }
        endReading();
    }

    /**
     * Rejects requests as {@link #rejectRequests} does, and reads nothing more from the client, except to see it close
     * its side. Commands that have been read and not decoded are rejected when their turn comes, and the connection
     * ends after the response to the last one.
     */
    void endReading() {
        if (hasReadingEnded() || closer.isFinished()) {
            return;
        }
        closer.rejectRequests();
        readControl.end(connection.context());
        if (connection.undecodedBytes() == 0) {
            inputDecoded();
        } else {
            connection.turns().resume();
        }
    }

    /** Returns whether reading has ended for good. */
    boolean hasReadingEnded() {
        return readControl.hasEnded();
    }

    /** Records that more was read, by a read that was under way when reading ended. */
    void commandsRead() {
        inputDecoded = false;
    }

    /** Records that reading has ended and all complete commands that were read have been decoded. */
    void inputDecoded() {
        inputDecoded = true;
        connection.writeResponses();
    }

    /** Returns whether reading has ended and no complete command is left in what was read. */
    boolean isInputDecoded() {
        return inputDecoded;
    }

    // ---- a client that is idle or stalled

    /**
     * Closes the connection to make room for another one. If the client may not have received the last response yet,
     * only the proxy's output is shut down: a close with unread input would send a reset, which would discard that
     * response.
     *
     * <p>Has no effect if the client has sent anything that had not been read.
     *
     * @return whether the connection is closed now; otherwise it is closed after it has lingered, or stays open
     */
    boolean evict(double nowMs) {
        if (connection.isHandlingInput()) {
            return false;
        }
        ByteBuf received = closer.endUnlessUnread(connection.context(), CloseCause.EVICTED);
        if (received != null) {
            connection.receive(received);
            return false;
        }
        if (activity.mayNotHaveLastResponse(nowMs)) {
            return false;
        }
        closer.close(connection.context(), CloseCause.EVICTED);
        return true;
    }

    /** Closes a stalled connection, after the responses to its complete requests, unless more has arrived by now. */
    void closeStalled(double nowMs) {
        boolean clientReads = !connection.status().hasUnwrittenBytes();
        if (!clientReads) {
            responses.cancelHeldValues(); // they wait for the client to read
        }
        if (responses.hasUnanswered()) {
            rejectRequests();
        } else if (!clientReads || closer.isFinished() || endUnlessResumed(nowMs)) {
            closer.close(connection.context(), CloseCause.STALLED);
        }
    }

    /** Ends a stalled connection; returns false if what has arrived by now shows that it is no longer stalled. */
    private boolean endUnlessResumed(double nowMs) {
        for (int i = 0; i < MAX_LOOKS; i++) {
            if (connection.isHandlingInput()) {
                return false;
            }
            ByteBuf received = closer.endUnlessUnread(connection.context(), CloseCause.STALLED);
            if (received == null) {
                return true;
            }
            connection.receive(received);
            ConnectionStatus status = connection.status();
            if (!status.isStalled(nowMs) || status.mayHoldCommands() || !responses.isEmpty()) {
                return false;
            }
        }
        return true;
    }
}
