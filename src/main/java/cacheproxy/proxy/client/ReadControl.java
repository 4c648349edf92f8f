package cacheproxy.proxy.client;

import cacheproxy.proxy.net.ReadPause;
import cacheproxy.proxy.net.SocketState;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;

/**
 * Pauses reading from a client connection while it takes no requests, and tracks the earliest time at which the bytes
 * that are read now may have arrived. A request's deadline counts from that time.
 */
final class ReadControl {
    private final EventLoopContext loopContext;
    private boolean paused;
    /** Whether no pause ends any more. */
    private boolean ended;

    /** Whether the next bytes may have arrived before the poll; the system is asked then. */
    private boolean askArrivalTime = true;
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

    /** Records that the next bytes are read without a poll, which would tell since when they may have been there. */
    void readBesidesPoll() {
        askArrivalTime = true;
    }

    /** Records that bytes have been read from the socket of this channel. */
    void bytesRead(Channel channel) {
        unreadSinceMs = loopContext.unreadSinceMs();
        if (askArrivalTime) { // the connection may have been in the accept queue for many turns of the loop
            askArrivalTime = false;
            unreadSinceMs = Math.min(unreadSinceMs, loopContext.nowMs() - SocketState.lastReceivedAgoMs(channel));
        }
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

    /** Stops reading from the socket; what has been read and not decoded may hold complete commands from now on. */
    void pause(ChannelHandlerContext ctx, ReadPause reason) {
        if (paused) {
            return;
        }
        paused = true;
        unreadSincePauseMs = loopContext.nowMs();
        loopContext.load().readPaused(reason);
        ctx.channel().config().setAutoRead(false);
    }

    /** Returns whether reading has stopped for good. */
    boolean hasEnded() {
        return ended;
    }

    /** Stops reading from the socket for good. */
    void end(ChannelHandlerContext ctx) {
        ended = true;
        paused = true;
        ctx.channel().config().setAutoRead(false);
    }

    /**
     * Reads from the socket again after a pause, once everything that was read before has been decoded; has no effect
     * if reading is not paused or has ended.
     */
    void resume(ChannelHandlerContext ctx) {
        if (!paused || ended) {
            return;
        }
        paused = false;
        resumeTurn = loopContext.turn();
        ctx.channel().config().setAutoRead(true);
    }
}
