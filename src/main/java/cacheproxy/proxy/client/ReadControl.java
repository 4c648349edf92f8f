package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;

/**
 * Pauses reading from a client connection while it takes no requests, and tracks the earliest time at which the bytes
 * that are read now may have arrived. A request's deadline counts from that time.
 */
final class ReadControl {
    private final EventLoopContext loopContext;
    private boolean paused;
    /** Whether bytes that were read before a pause have yet to be decoded, as the pause has just ended. */
    private boolean resuming;
    /** The earliest time at which the bytes last read may have arrived. */
    private double unreadSinceMs;
    /**
     * The earliest time at which the bytes that are read first after accepting the connection, or after a pause, may
     * have arrived.
     */
    private double unreadSincePauseMs;
    /** The event loop's turn in which the connection was accepted or the last pause ended. */
    private long resumeTurn;

    ReadControl(EventLoopContext loopContext) {
        this.loopContext = loopContext;
    }

    /**
     * Records that the connection has been accepted; it may have been waiting in the accept queue since
     * {@code queuedSinceMs}.
     */
    void accepted(double queuedSinceMs) {
        unreadSincePauseMs = queuedSinceMs;
        resumeTurn = loopContext.turn();
        unreadSinceMs = queuedSinceMs;
    }

    /** Records that bytes have been read from the socket. */
    void bytesRead() {
        unreadSinceMs = loopContext.unreadSinceMs();
        if (loopContext.isTurnOrNext(resumeTurn)) {
            unreadSinceMs = Math.min(unreadSinceMs, unreadSincePauseMs);
        }
    }

    /** The earliest time, in milliseconds, at which the bytes last read may have arrived. */
    double unreadSinceMs() {
        return unreadSinceMs;
    }

    boolean isPaused() {
        return paused;
    }

    /** Returns whether bytes that have been read may hold complete commands, as they were not decoded in a pause. */
    boolean mayHoldCommands() {
        return paused || resuming;
    }

    /** Stops reading from the socket. */
    void pause(ChannelHandlerContext ctx) {
        if (!paused) {
            unreadSincePauseMs = loopContext.nowMs();
        }
        paused = true;
        ctx.channel().config().setAutoRead(false);
    }

    /** Resumes reading after a pause; has no effect if reading is not paused. */
    void resume(ChannelHandlerContext ctx) {
        if (!paused) {
            return;
        }
        paused = false;
        resumeTurn = loopContext.turn();
        ctx.channel().config().setAutoRead(true);
        // The decoder may hold bytes that were read before the pause; an empty buffer makes it decode them.
        resuming = true;
        ctx.executor().execute(() -> {
            resuming = false;
            ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
        });
    }
}
