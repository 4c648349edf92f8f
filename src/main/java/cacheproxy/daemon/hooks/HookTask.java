package cacheproxy.daemon.hooks;

import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookOrders;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One call of a hook: queued, running or ended. Whoever ends it first reports it: the hook's thread or, on a timeout,
 * the event loop.
 */
final class HookTask {
    private final Thread worker;
    private final HookCall call;
    /** Null for a request. */
    private final HookCall.Answer answer;

    private final long elapsedMs;
    private final double deadlineMs;
    private final CompletionListener listener;
    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);

    /** Receives the end of a call, once: on the hook's thread, or on the event loop after a timeout. */
    interface CompletionListener {
        /** Receives orders, or why there are none; {@code called} tells whether the hook was called at all. */
        void completed(HookOrders orders, String failure, boolean called);
    }

    private enum State {
        QUEUED,
        RUNNING,
        ENDED
    }

    private HookTask(
            Thread worker,
            HookCall call,
            HookCall.Answer answer,
            long elapsedMs,
            double deadlineMs,
            CompletionListener listener) {
        this.worker = worker;
        this.call = call;
        this.answer = answer;
        this.elapsedMs = elapsedMs;
        this.deadlineMs = deadlineMs;
        this.listener = listener;
    }

    /**
     * A call for a request.
     *
     * @param worker the hook's thread, which is interrupted on a timeout
     * @param deadlineMs when it is to be expired, on the event loop's clock
     */
    static HookTask ofRequest(Thread worker, HookCall call, double deadlineMs, CompletionListener listener) {
        return new HookTask(worker, call, null, 0, deadlineMs, listener);
    }

    /** A call that reports a response, which took so long; its end interests nobody. */
    static HookTask ofAnswer(Thread worker, HookCall call, HookCall.Answer answer, long elapsedMs) {
        return new HookTask(worker, call, answer, elapsedMs, 0, (orders, failure, called) -> {});
    }

    /** Returns what the hook is told of the request. */
    HookCall call() {
        return call;
    }

    /** Returns the response to report; null for a request. */
    HookCall.Answer answer() {
        return answer;
    }

    /** Returns how long the response took. */
    long elapsedMs() {
        return elapsedMs;
    }

    /** Returns when it is to be expired, on the event loop's clock. */
    double deadlineMs() {
        return deadlineMs;
    }

    /** Begins a queued call on the hook's thread; false if it has ended. */
    boolean begin() {
        return state.compareAndSet(State.QUEUED, State.RUNNING);
    }

    /** Ends a running call on the hook's thread, and reports it unless its timeout did. */
    void complete(HookOrders orders, String failure) {
        boolean first;
        synchronized (worker) {
            first = state.compareAndSet(State.RUNNING, State.ENDED);
            Thread.interrupted(); // its timeout may have come late
        }
        if (first) {
            listener.completed(orders, failure, true);
        }
    }

    /** Ends the call on its timeout, unless it has ended; on the event loop. */
    void expire() {
        State previous;
        synchronized (worker) { // so that the next call is not interrupted in this one's place
            previous = state.getAndSet(State.ENDED);
            if (previous == State.RUNNING) {
                worker.interrupt();
            }
        }
        switch (previous) {
            case QUEUED -> listener.completed(null, "it waited too long for its turn", false);
            case RUNNING -> listener.completed(null, "it exceeded its time limit", true);
            default -> {} // reported before
        }
    }

    /** Withdraws a call that was not queued; false if it has timed out, which is reported as usual. */
    boolean withdraw() {
        return state.compareAndSet(State.QUEUED, State.ENDED);
    }
}
