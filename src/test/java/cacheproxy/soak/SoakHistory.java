package cacheproxy.soak;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What clients, servers and the fault injector have seen in a round, all on this process's {@link System#nanoTime}. */
final class SoakHistory {
    /** Effects of a request's class. */
    enum Effect {
        SAFE,
        SINGLE
    }

    /** One request as its client saw it; fields are written by its client's thread and read once the round is over. */
    static final class Request {
        final String id;
        final int proxy;
        final Effect effect;
        final int deadlineMs;
        /** The longest wait of those before it on its connection and its own: answers come in order. */
        volatile int orderedDeadlineMs;

        /** When its connection had come up. */
        volatile long connectedNanos;

        volatile long writeStartNanos;
        /** When the last byte was handed to the system; 0: it never was. */
        volatile long sentNanos;
        /** When the client closed its connection before the answer; 0: it did not. */
        volatile long closedNanos;
        /** When the last byte of the answer came; 0: none. */
        volatile long answeredNanos;
        /** When the connection ended by the proxy's side without an answer; 0: it did not. */
        volatile long cutNanos;

        Request(String id, int proxy, Effect effect, int deadlineMs) {
            this.id = id;
            this.proxy = proxy;
            this.effect = effect;
            this.deadlineMs = deadlineMs;
            orderedDeadlineMs = deadlineMs;
        }
    }

    /** A command that came whole to a server. */
    record Arrival(String id, String server, long atNanos, double deadlineMs, boolean takesEffect) {}

    /**
     * A span in which a proxy's process was stopped or killed: what its clients see then is not the proxy's fault.
     *
     * @param fromNanos when the signal was asked for; until {@code inForceNanos} the process may still have been
     *     running
     * @param inForceNanos when the signal had been delivered for certain
     * @param toNanos when the process was running again for certain
     */
    record Outage(int proxy, long fromNanos, long inForceNanos, long toNanos) {}

    /**
     * A planned end of a proxy's process, in which it owes what it has taken.
     *
     * @param requestedNanos when SIGTERM was about to be sent
     * @param endedNanos when the process had ended for certain, by itself or by SIGKILL
     */
    record Shutdown(int proxy, long requestedNanos, long endedNanos) {}

    /** A proxy's process, with all its connections, had ended for certain, in whatever way. */
    record ProcessExit(int proxy, long endedNanos) {}

    final Map<String, Request> requests = new ConcurrentHashMap<>();
    final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    final Queue<Outage> outages = new ConcurrentLinkedQueue<>();
    final Queue<Shutdown> shutdowns = new ConcurrentLinkedQueue<>();
    final Queue<ProcessExit> processExits = new ConcurrentLinkedQueue<>();
    /** From when on nobody may be sent anything, by server. */
    final Map<String, Long> drainedNanos = new ConcurrentHashMap<>();
    /** What a process said of itself that is a fault. */
    final Queue<String> errors = new ConcurrentLinkedQueue<>();
    /** The longest time by which this process's own loop and threads were late. */
    volatile long maxLatenessNanos;
}
