package cacheproxy.proxy.client;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.invariant.Invariant;
import cacheproxy.proxy.net.SocketState;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Closes a client connection in steps: further requests are rejected ({@link #isClosing}); it writes nothing more
 * ({@link #isFinished}), shuts down the proxy's output once the operating system has taken what was written, and
 * lingers until the client closes its side; and it is closed.
 */
final class ConnectionCloser {
    private static final long LINGER_MS = 300;
    /** What has been in the system for less may have come in the moment of the end. */
    private static final double MAX_CROSSING_MS = 20;
    /** The cause that is logged if the operating system reports an error of the connection. */
    private static final String RESET = "reset";

    private final EventLoopContext loopContext;
    private final ResponseQueue responses;
    private boolean closing;
    private boolean finished;
    /** Why the proxy has closed the connection, or the error that ended it; null if there is neither. */
    private String cause;
    /** How many bytes have been read from the connection. */
    private long readBytes;
    /** Bytes that were read after the proxy had ended its side, and dropped. */
    private long droppedBytes;

    ConnectionCloser(EventLoopContext loopContext, ResponseQueue responses) {
        this.loopContext = loopContext;
        this.responses = responses;
    }

    /** Returns whether further requests are rejected; the connection ends after the last response. */
    boolean isClosing() {
        return closing;
    }

    /** Returns whether nothing more is written, as the proxy's output is shut down or will be. */
    boolean isFinished() {
        return finished;
    }

    /** Records that bytes have been read from the connection. */
    void bytesRead(int bytes) {
        readBytes += bytes;
        if (finished) {
            droppedBytes += bytes;
        }
    }

    /** Records that further requests are rejected from now on. */
    void rejectRequests() {
        closing = true;
    }

    /**
     * Shuts down the proxy's output after the last response, and waits for the client to close its side: a close with
     * unread input would send a reset, which could overtake that response.
     */
    void finish(ChannelHandlerContext ctx) {
        finish(ctx, CloseCause.FINISHED);
    }

    /**
     * Ends the connection within the first response, of which a part has been written, as nothing else shows the client
     * that it is incomplete. The responses before it still reach the client.
     */
    void abortResponse(ChannelHandlerContext ctx) {
        cause = CloseCause.RESPONSE_ABORTED.label();
        finish(ctx, CloseCause.RESPONSE_ABORTED);
    }

    /**
     * Shuts down the proxy's output unless the client has sent anything that has not been read, and lingers. To be
     * called once everything that was written has been taken by the operating system.
     *
     * @return what the client has sent, in which case nothing has been shut down; null otherwise
     */
    ByteBuf endUnlessUnread(ChannelHandlerContext ctx, CloseCause closeCause) {
        ByteBuf received = loopContext.receiveQueue().readOrShutDownOutput(ctx.channel());
        if (received != null) {
            return received;
        }
        responses.checkAnswered(closeCause);
        finished = true;
        closing = true;
        if (ctx.channel().isActive()) {
            checkNothingHasWaited(ctx, recordEnd(ctx, closeCause), closeCause);
            linger(ctx);
        }
        return null;
    }

    /** What comes in the moment of the end crosses it; what has waited for longer shows that the look was too early. */
    private void checkNothingHasWaited(ChannelHandlerContext ctx, long unreadBytes, CloseCause closeCause) {
        double waitedMs = unreadBytes == 0 ? 0 : SocketState.lastReceivedAgoMs(ctx.channel());
        if (waitedMs > MAX_CROSSING_MS) {
            String reason = unreadBytes + " bytes had waited for " + waitedMs + " ms, " + closeCause.label();
            loopContext.invariants().recordViolation(Invariant.CLOSE_LEAVES_NOTHING_UNREAD, null, reason);
        }
    }

    private void finish(ChannelHandlerContext ctx, CloseCause closeCause) {
        if (finished) {
            return;
        }
        responses.checkAnswered(closeCause);
        finished = true;
        closing = true;
        // What the client sends until the output is shut down stays unread, so that it can send it again elsewhere.
        ctx.channel().config().setAutoRead(false);
        // Shutting down the output discards what the operating system has not taken yet, so it must come after that.
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> shutDownOutput(ctx, closeCause));
    }

    private void shutDownOutput(ChannelHandlerContext ctx, CloseCause closeCause) {
        if (ctx.channel().isActive()) {
            recordEnd(ctx, closeCause);
            linger(ctx);
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    private void linger(ChannelHandlerContext ctx) {
        ctx.channel().config().setAutoRead(true);
        ((DuplexChannel) ctx.channel()).shutdownOutput();
        ctx.executor().schedule(() -> close(ctx, CloseCause.LINGERED), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection at once. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void close(ChannelHandlerContext ctx, CloseCause closeCause) {
        responses.checkAnswered(closeCause);
        if (cause == null) {
            cause = closeCause.label();
        }
        if (!finished) {
            recordEnd(ctx, closeCause);
        }
        ctx.flush(); // otherwise a response that is written but not flushed would be lost
        ctx.close();
    }

    /** Records that the proxy ends the connection now; returns how many bytes the system holds unread. */
    private long recordEnd(ChannelHandlerContext ctx, CloseCause closeCause) {
        long unreadBytes = loopContext.receiveQueue().unreadBytes(ctx.channel(), readBytes);
        if (unreadBytes > 0) {
            loopContext.load().endedWithUnread();
        }
        if (loopContext.events().isEnabled()) {
            loopContext
                    .events()
                    .line(ProxyEvent.CLIENT_ENDED)
                    .with("client", ctx.channel().remoteAddress())
                    .with("by", "proxy")
                    .with("cause", closeCause.label())
                    .with("owed", responses.size())
                    .with("in_system", unreadBytes)
                    .write();
        }
        return unreadBytes;
    }

    /** Closes the connection after an I/O error or a fault of the proxy. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void closeAfter(Throwable error, ChannelHandlerContext ctx) {
        if (error instanceof IOException) {
            cause = RESET;
        } else {
            cause = error.getClass().getSimpleName();
            loopContext.faults().record(error);
        }
        ctx.close();
    }

    /** Reports that the channel is closed, by either side. */
    void closed(ChannelHandlerContext ctx, int unreadBytes) {
        if (loopContext.events().isEnabled()) {
            loopContext
                    .events()
                    .line(ProxyEvent.CLIENT_CLOSED)
                    .with("client", ctx.channel().remoteAddress())
                    .with("by", isClosedByProxy() ? "proxy" : "client")
                    .with("cause", cause == null ? "end" : cause)
                    .with("owed", responses.size())
                    .with("unread", unreadBytes)
                    .with("dropped", droppedBytes)
                    .write();
        }
        closing = true;
        finished = true;
    }

    /** Returns whether the proxy has ended the connection first; a reset counts as ended by the client. */
    private boolean isClosedByProxy() {
        return finished || (cause != null && !RESET.equals(cause));
    }
}
