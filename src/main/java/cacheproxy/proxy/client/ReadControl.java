package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;

/**
 * Pauses the reading of a client connection while it has too much in hand, and knows since when the bytes that are read
 * now may have waited, from which a request's deadline counts.
 */
final class ReadControl {
    private final EventLoopContext loopContext;
    private boolean paused;
    /** The earliest time that the bytes last read may have arrived. */
    private double unreadSinceMs;
    /** The earliest time that bytes may have arrived that are read after accepting the connection, or after a pause. */
    private double unreadSincePauseMs;
    /** The event loop's turn in which the connection was accepted or the last pause ended. */
    private long resumeTurn;

    ReadControl(EventLoopContext loopContext) {
        this.loopContext = loopContext;
    }

    /** The connection has been accepted; it may have waited for that since {@code queuedSinceMs}. */
    void accepted(double queuedSinceMs) {
        unreadSincePauseMs = queuedSinceMs;
        resumeTurn = loopContext.turn();
        unreadSinceMs = queuedSinceMs;
    }

    /** Bytes have been read from the socket. */
    void bytesRead() {
        unreadSinceMs = loopContext.unreadSinceMs();
        if (loopContext.isTurnOrNext(resumeTurn)) {
            unreadSinceMs = Math.min(unreadSinceMs, unreadSincePauseMs);
        }
    }

    /** The earliest time, in milliseconds, that the bytes last read may have arrived. */
    double unreadSinceMs() {
        return unreadSinceMs;
    }

    boolean isPaused() {
        return paused;
    }

    /** Stops reading from the socket. */
    void pause(ChannelHandlerContext ctx) {
        if (!paused) {
            unreadSincePauseMs = loopContext.nowMs();
        }
        paused = true;
        ctx.channel().config().setAutoRead(false);
    }

    /** Reads on after a pause, if there is one. */
    void resume(ChannelHandlerContext ctx) {
        if (!paused) {
            return;
        }
        paused = false;
        resumeTurn = loopContext.turn();
        ctx.channel().config().setAutoRead(true);
        // The decoder may hold bytes that were read before the pause; an empty buffer makes it decode them.
        ctx.executor().execute(() -> ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER));
    }
}
