package cacheproxy.proxy.client;

import cacheproxy.proxy.net.TurnScheduler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Ends a client connection by the proxy's own choice, once nothing is owed to the client: no response, and nothing that
 * the operating system has received and the proxy has not read. Whether that holds is looked up right before the end;
 * the last poll of the event loop says only what held then. The ends of many connections are spread over turns of the
 * event loop.
 */
final class ConnectionEnd implements TurnScheduler.Work {
    /** How long a client that never stops sending is answered by rejections before its connection ends. */
    private static final double MAX_REFUSING_MS = 50;
    /** How often what has arrived is read in a row before a stalled connection is closed nevertheless. */
    private static final int MAX_LOOKS = 4;

    private final ClientConnection connection;
    private final ConnectionCloser closer;
    private boolean scheduled;
    private boolean awaitsFlush;
    /** Since when the client does nothing but send requests that are rejected; not a number if it does not. */
    private double refusingSinceMs = Double.NaN;

    ConnectionEnd(ClientConnection connection, ConnectionCloser closer) {
        this.connection = connection;
        this.closer = closer;
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
        if (connection.onlyRefuses() && hasRefusedForLong()) {
            readForTheLastTime();
        }
        if (!connection.isEndDue()) {
            return;
        }
        if (connection.hasReadingEnded()) {
            closer.finish(connection.context());
        } else if (connection.status().hasUnwrittenBytes()) {
            scheduleOnceFlushed();
        } else {
            endUnlessUnread();
        }
    }

    private boolean hasRefusedForLong() {
        double nowMs = connection.loopContext().nowMs();
        if (Double.isNaN(refusingSinceMs)) {
            refusingSinceMs = nowMs;
        }
        return nowMs - refusingSinceMs > MAX_REFUSING_MS;
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
        connection.endReading();
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
        if (connection.isEndDue()) {
            schedule();
        }
    }

    /** Ends a stalled connection; returns false if what has arrived by now shows that it is no longer stalled. */
    boolean endUnlessResumed(double nowMs) {
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
            if (!status.isStalled(nowMs) || status.mayHoldCommands() || status.hasResponses()) {
                return false;
            }
        }
        return true;
    }
}
