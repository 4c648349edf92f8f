package cacheproxy.soak;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Events of a round as recorded by clients, servers and the fault injector; all times are of this process's
 * {@link System#nanoTime}.
 */
final class SoakHistory {
    /** The effect of a request's class. */
    enum Effect {
        SAFE,
        SINGLE
    }

    /** A request as its client saw it; its fields are written by the client's thread and read after the round. */
    static final class Request {
        final String id;
        final int proxy;
        final Effect effect;
        final int deadlineMs;
        /**
         * The longest deadline of this request and of those before it in its batch, because answers arrive in order.
         */
        volatile int orderedDeadlineMs;

        /** When its connection had been established. */
        volatile long connectedNanos;

        volatile long writeStartNanos;
        /** When the last byte had been passed to the operating system; 0 if it was not. */
        volatile long sentNanos;
        /** When the client closed its connection before the answer; 0 if it did not. */
        volatile long closedNanos;
        /** When the last byte of the answer arrived; 0 if there was none. */
        volatile long answeredNanos;
        /** When the proxy's side ended the connection without an answer; 0 if it did not. */
        volatile long cutNanos;

        Request(String id, int proxy, Effect effect, int deadlineMs) {
            this.id = id;
            this.proxy = proxy;
            this.effect = effect;
            this.deadlineMs = deadlineMs;
            orderedDeadlineMs = deadlineMs;
        }
    }

    /** A command that arrived at a server in full. */
    record Arrival(String id, String server, long atNanos, double deadlineMs, boolean takesEffect) {}

    /**
     * A period in which a proxy's process was paused or killed; failures that its clients see then are not faults of
     * the proxy.
     *
     * @param fromNanos when the signal was requested; the process may still have been running until
     *     {@code inForceNanos}
     * @param inForceNanos when the signal had certainly been delivered
     * @param toNanos when the process was certainly running again
     */
    record Outage(int proxy, long fromNanos, long inForceNanos, long toNanos) {}

    /**
     * A planned shutdown of a proxy's process, which must still answer the requests that it has received.
     *
     * @param requestedNanos when SIGTERM was about to be sent
     * @param endedNanos when the process had certainly exited, by itself or by SIGKILL
     */
    record Shutdown(int proxy, long requestedNanos, long endedNanos) {}

    /** The time at which a proxy's process, with all its connections, had certainly ended, for whatever reason. */
    record ProcessExit(int proxy, long endedNanos) {}

    final Map<String, Request> requests = new ConcurrentHashMap<>();
    final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    final Queue<Outage> outages = new ConcurrentLinkedQueue<>();
    final Queue<Shutdown> shutdowns = new ConcurrentLinkedQueue<>();
    final Queue<ProcessExit> processExits = new ConcurrentLinkedQueue<>();
    /**
     * When each drained server was listed as draining or removed. Requests must stop arriving there once the proxies
     * know of the change and the drain grace is over.
     */
    final Map<String, Long> drainedNanos = new ConcurrentHashMap<>();
    /** Faults that were recorded directly: those that processes report or log, and those that clients observe. */
    final Queue<String> errors = new ConcurrentLinkedQueue<>();
    /** The largest lateness of this process's own event loop. */
    volatile long maxLatenessNanos;
}
