package cacheproxy.proxy.net;

/**
 * The clock of one event loop: milliseconds since the Unix epoch at its creation, and monotonic from there, so that the
 * start times of an endpoint list compare with it. Used on its event loop only, apart from {@link #nowMs}.
 */
public final class EventLoopClock {
    private static final double NANOS_PER_MS = 1e6;

    private final PollClock polls;
    private final double epochMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    /** Creates a clock for the event loop that reports its polls to {@code polls}, or for one that reports nothing. */
    public EventLoopClock(PollClock polls) {
        this.polls = polls;
    }

    /** The time now; from any thread. */
    public double nowMs() {
        return toEpochMs(System.nanoTime());
    }

    private double toEpochMs(long nanos) {
        return epochMs + (nanos - startNanos) / NANOS_PER_MS;
    }

    /** Since when data read now may have waited unread. To be called before anything else that reads. */
    public double unreadSinceMs() {
        long nowNanos = System.nanoTime();
        return toEpochMs(nowNanos) - polls.unreadForMs(nowNanos);
    }

    /** The number of the loop's polls so far; 0 if it does not report them. */
    public long turn() {
        return polls.turn();
    }

    /** Whether this turn of the loop is the given one or the next, which reads what was unread until then. */
    public boolean isTurnOrNext(long turn) {
        return polls.turn() > 0 && polls.turn() - turn <= 1;
    }

    /** Whether the end of a connection may have gone unnoticed for long; see {@link PollClock#isBehind}. */
    public boolean isBehind() {
        return polls.turn() > 0 && polls.isBehind(System.nanoTime());
    }

    /** An event is handled: what is read later in this turn may have waited since now. */
    public void recordEventHandling() {
        polls.recordEventHandling(System.nanoTime());
    }
}
