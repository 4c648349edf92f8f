package cacheproxy.daemon.hooks;

import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookOrders;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One call of a hook, which is queued, running or ended. It is ended and reported exactly once: by the hook's thread
 * or, on a timeout, by the event loop, whichever comes first.
 */
final class HookTask {
    private final Thread worker;
    private final HookCall call;
    /** The response to report; null if the call is for a request. */
    private final HookCall.Answer answer;

    private final long elapsedMs;
    private final double deadlineMs;
    private final CompletionListener listener;
    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);

    /** Is notified once of the end of a call: on the hook's thread, or on the event loop after a timeout. */
    interface CompletionListener {
        /**
         * Receives the orders, or the reason why there are none; {@code called} is whether the hook was called at all.
         */
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
     * Creates a call for a request.
     *
     * @param worker the hook's thread, which is interrupted on a timeout
     * @param deadlineMs when the call has to be expired, on the event loop's clock
     */
    static HookTask ofRequest(Thread worker, HookCall call, double deadlineMs, CompletionListener listener) {
        return new HookTask(worker, call, null, 0, deadlineMs, listener);
    }

    /**
     * Creates a call that notifies the hook of a response and the time it took; the end of the call is not reported.
     */
    static HookTask ofAnswer(Thread worker, HookCall call, HookCall.Answer answer, long elapsedMs) {
        return new HookTask(worker, call, answer, elapsedMs, 0, (orders, failure, called) -> {});
    }

    /** Returns the description of the request that is passed to the hook. */
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

    /** Returns when the call has to be expired, on the event loop's clock. */
    double deadlineMs() {
        return deadlineMs;
    }

    /** Begins a queued call on the hook's thread. Returns false if the call has ended already. */
    boolean begin() {
        return state.compareAndSet(State.QUEUED, State.RUNNING);
    }

    /** Ends a running call on the hook's thread, and reports it unless its timeout has already done so. */
    void complete(HookOrders orders, String failure) {
        boolean first;
        synchronized (worker) {
            first = state.compareAndSet(State.RUNNING, State.ENDED);
            Thread.interrupted(); // clears an interrupt by a late timeout
        }
        if (first) {
            listener.completed(orders, failure, true);
        }
    }

    /** Ends the call on its timeout, unless it has ended already; on the event loop. */
    void expire() {
        State previous;
        synchronized (worker) { // so that the next call is not interrupted instead of this one
            previous = state.getAndSet(State.ENDED);
            if (previous == State.RUNNING) {
                worker.interrupt();
            }
        }
        switch (previous) {
            case QUEUED -> listener.completed(null, "it waited too long for its turn", false);
            case RUNNING -> listener.completed(null, "it exceeded its time limit", true);
            default -> {} // it has been reported already
        }
    }

    /**
     * Withdraws a call that could not be queued. Returns false if the call has timed out, which is reported as usual.
     */
    boolean withdraw() {
        return state.compareAndSet(State.QUEUED, State.ENDED);
    }
}
