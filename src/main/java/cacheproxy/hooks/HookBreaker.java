package cacheproxy.hooks;

/**
 * Switches a hook off that fails in more than a share of its calls, and tries it again after a while with one call.
 * Calls end on the threads of several hooks, so it is safe to use from any. Free of clocks; times in milliseconds.
 * Counts fade by half every {@value #WINDOW_MS} ms.
 */
public final class HookBreaker {
    static final double WINDOW_MS = 2000;
    /** Fewer calls say nothing. */
    static final double LEAST_CALLS = 10;

    private final double share;
    private final double offMs;
    private double calls;
    private double failures;
    private double halvedAt;
    private double offUntil = Double.NEGATIVE_INFINITY;
    private boolean off;
    private boolean trying;

    /**
     * @param share of calls that may fail, 0 to 1; 1: never switched off
     * @param offMs for how long it is off
     */
    public HookBreaker(double share, double offMs) {
        this.share = share;
        this.offMs = offMs;
    }

    /** Whether the hook is to be called now; if so its end must be told. */
    public synchronized boolean call(double now) {
        if (!off) {
            return true;
        }
        if (now < offUntil || trying) {
            return false;
        }
        trying = true;
        return true;
    }

    /** A call has ended; true if the hook is switched off by it, which is to be told once. */
    public synchronized boolean ended(double now, boolean failed) {
        if (off) {
            if (trying) {
                trying = false;
                off = failed;
                offUntil = now + offMs;
                calls = failures = 0;
            }
            return false;
        }
        if (now - halvedAt > WINDOW_MS) {
            double factor = Math.pow(0.5, Math.floor((now - halvedAt) / WINDOW_MS));
            calls *= factor;
            failures *= factor;
            halvedAt = now;
        }
        calls++;
        failures += failed ? 1 : 0;
        if (calls >= LEAST_CALLS && failures > share * calls) {
            off = true;
            offUntil = now + offMs;
        }
        return off;
    }

    /** What {@link #call} allowed has not been run, for want of room or time: that says nothing of the hook. */
    public synchronized void notRun() {
        trying = false;
    }

    public synchronized boolean isOff() {
        return off;
    }
}
