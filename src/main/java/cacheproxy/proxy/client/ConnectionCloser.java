package cacheproxy.proxy.client;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * The states in which a client connection ends: it stops taking requests ({@link #isClosing}), it ends the proxy's side
 * and lingers until the client ends its own ({@link #isFinished}), and it is closed.
 */
final class ConnectionCloser {
    private static final long LINGER_MS = 300;
    /** The cause of an end that the system reports as an error of the connection. */
    private static final String RESET = "reset";

    private final EventLoopContext loopContext;
    private final ResponseQueue responses;
    private boolean closing;
    private boolean finished;
    /** Why this side has closed the connection, or its error; null if neither. */
    private String cause;

    ConnectionCloser(EventLoopContext loopContext, ResponseQueue responses) {
        this.loopContext = loopContext;
        this.responses = responses;
    }

    /** Whether no further request is taken; the connection ends after the last response. */
    boolean isClosing() {
        return closing;
    }

    /** Whether this side is ended, so that nothing more is written. */
    boolean isFinished() {
        return finished;
    }

    /** Takes no further request from now on. */
    void stopTakingRequests() {
        closing = true;
    }

    /**
     * Ends this side and waits for the client to end its own: a close with unread input would send a reset, which could
     * overtake the last response.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void finish(ChannelHandlerContext ctx) {
        if (finished) {
            return;
        }
        responses.checkAnswered(CloseCause.FINISHED);
        finished = true;
        closing = true;
        ctx.flush();
        ctx.channel().config().setAutoRead(true);
        ((DuplexChannel) ctx.channel()).shutdownOutput();
        ctx.executor().schedule(() -> close(ctx, CloseCause.LINGERED), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection at once. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void close(ChannelHandlerContext ctx, CloseCause closeCause) {
        responses.checkAnswered(closeCause);
        cause = closeCause.label();
        ctx.flush(); // a response that is written and not flushed would be lost
        ctx.close();
    }

    /** Closes the connection after an error of the system's or a fault of the proxy's. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void closeAfter(Throwable error, ChannelHandlerContext ctx) {
        cause = error instanceof IOException ? RESET : error.getClass().getSimpleName();
        ctx.close();
    }

    /** The channel is closed, by whichever side. */
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
                    .write();
        }
        closing = true;
        finished = true;
    }

    /** Whether the proxy has ended the connection first; a reset is the client's. */
    private boolean isClosedByProxy() {
        return finished || (cause != null && !RESET.equals(cause));
    }
}
