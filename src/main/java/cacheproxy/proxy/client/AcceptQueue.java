package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;

/**
 * Estimates the earliest time since which a connection may have been waiting in the kernel's accept queue of a
 * listener. Queued connections are accepted turn by turn of the event loop; a turn that accepts none has found the
 * queue empty.
 */
final class AcceptQueue {
    /** If the event loop has not polled for longer than this, connections may have queued up. */
    private static final double MIN_PAUSE_MS = 25;
    /** How long accepting the queued connections can take, at one connection per turn of the event loop. */
    private static final double MAX_DRAIN_MS = 100;

    private final EventLoopContext loopContext;
    /**
     * The earliest time at which a connection in the queue may have arrived; infinite once the queue has been empty.
     */
    private double queuedSinceMs = Double.POSITIVE_INFINITY;
    /** The time by which the queue is assumed to be empty. */
    private double emptyByMs;
    /** The turn in which a connection was last accepted, or accepting was last switched on or off. */
    private long lastAcceptTurn;

    AcceptQueue(EventLoopContext loopContext) {
        this.loopContext = loopContext;
    }

    /** Reports that accepting starts, or that it stops, so that connections queue up from now on. */
    void acceptingChanged(boolean accepting) {
        if (!accepting) {
            queuedSinceMs = Math.min(queuedSinceMs, loopContext.nowMs());
        }
        emptyByMs = loopContext.nowMs() + MAX_DRAIN_MS;
        lastAcceptTurn = loopContext.turn();
    }

    /**
     * Reports that a connection is accepted; returns the earliest time at which it may have arrived, in milliseconds.
     */
    double connectionAccepted() {
        double unreadSinceMs = loopContext.unreadSinceMs();
        double nowMs = loopContext.nowMs();
        if (nowMs > emptyByMs || !loopContext.isTurnOrNext(lastAcceptTurn)) {
            queuedSinceMs = Double.POSITIVE_INFINITY;
        }
        if (nowMs - unreadSinceMs > MIN_PAUSE_MS) {
            queuedSinceMs = Math.min(queuedSinceMs, unreadSinceMs);
            emptyByMs = nowMs + MAX_DRAIN_MS;
        }
        lastAcceptTurn = loopContext.turn();
        return Math.min(queuedSinceMs, unreadSinceMs);
    }
}
