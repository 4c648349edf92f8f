package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;

/**
 * Estimates since when a connection may have waited in the kernel's accept queue of a listener. Queued connections are
 * accepted turn by turn of the event loop; a turn without one has found the queue empty.
 */
final class AcceptQueue {
    /** If the event loop has not polled for longer than this, connections may have queued up. */
    private static final double MIN_PAUSE_MS = 25;
    /** How long it may take to accept those that have queued up: one in each turn of the loop. */
    private static final double MAX_DRAIN_MS = 100;

    private final EventLoopContext loopContext;
    /** The earliest time that a connection in the queue may have come; infinite if the queue has been empty since. */
    private double queuedSinceMs = Double.POSITIVE_INFINITY;
    /** When the queue is assumed to be empty at the latest. */
    private double emptyByMs;
    /** The turn in which the last connection was accepted, or accepting was last switched. */
    private long lastAcceptTurn;

    AcceptQueue(EventLoopContext loopContext) {
        this.loopContext = loopContext;
    }

    /** Accepting begins, or stops, so that connections queue up from now on. */
    void acceptingChanged(boolean accepting) {
        if (!accepting) {
            queuedSinceMs = Math.min(queuedSinceMs, loopContext.nowMs());
        }
        emptyByMs = loopContext.nowMs() + MAX_DRAIN_MS;
        lastAcceptTurn = loopContext.turn();
    }

    /** A connection is accepted; returns the earliest time that it may have come, in milliseconds. */
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
