package cacheproxy.hooks;

/**
 * Switches a hook off if more than a given fraction of its calls fails, and after a given time tries it again with one
 * call. Counts decay by half every {@value #HALF_LIFE_MS} ms.
 *
 * <p>Calls end on the threads of several hooks, so it may be used from any thread. It reads no clock; the caller passes
 * times in milliseconds, all from one clock.
 */
public final class HookCircuitBreaker {
    static final double HALF_LIFE_MS = 2000;
    /** With fewer calls, the hook is not switched off. */
    static final double MIN_CALLS = 10;

    private enum State {
        /** Calls are allowed. */
        CLOSED,
        /** No calls are allowed until the open time is over. */
        OPEN,
        /** One trial call is in progress; its result decides the next state. */
        HALF_OPEN
    }

    private final double maxFailureRatio;
    private final double openMs;
    private State state = State.CLOSED;
    private double calls;
    private double failures;
    private double decayedAtMs;
    private double openUntilMs;

    /**
     * @param maxFailureRatio the fraction of calls that may fail, 0 to 1; 1: the hook is never switched off
     * @param openMs how long the hook is switched off
     */
    public HookCircuitBreaker(double maxFailureRatio, double openMs) {
        this.maxFailureRatio = maxFailureRatio;
        this.openMs = openMs;
    }

    /** Returns whether the hook is to be called now; if so, the caller must record the call's end. */
    public synchronized boolean tryCall(double nowMs) {
        if (state == State.CLOSED) {
            return true;
        }
        if (state == State.HALF_OPEN || nowMs < openUntilMs) {
            return false;
        }
        state = State.HALF_OPEN;
        return true;
    }

    /** Records that a call has ended. Returns whether this switches the hook off, which the caller reports once. */
    public synchronized boolean recordResult(double nowMs, boolean failed) {
        if (state == State.HALF_OPEN) {
            state = failed ? State.OPEN : State.CLOSED;
            openUntilMs = nowMs + openMs;
            calls = 0;
            failures = 0;
            return false;
        }
        if (state == State.OPEN) {
            return false; // the call began before the hook was switched off
        }
        decay(nowMs);
        calls++;
        failures += failed ? 1 : 0;
        if (calls < MIN_CALLS || failures <= maxFailureRatio * calls) {
            return false;
        }
        state = State.OPEN;
        openUntilMs = nowMs + openMs;
        return true;
    }

    private void decay(double nowMs) {
        double elapsedMs = nowMs - decayedAtMs;
        if (elapsedMs > HALF_LIFE_MS) {
            double factor = Math.pow(0.5, Math.floor(elapsedMs / HALF_LIFE_MS));
            calls *= factor;
            failures *= factor;
            decayedAtMs = nowMs;
        }
    }

    /** Records that an allowed call was not run for lack of capacity or time, which says nothing about the hook. */
    public synchronized void recordNotRun() {
        if (state == State.HALF_OPEN) {
            state = State.OPEN;
        }
    }

    /** Returns whether the hook is switched off. */
    public synchronized boolean isOpen() {
        return state != State.CLOSED;
    }
}
