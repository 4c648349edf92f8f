package cacheproxy.proxy.net;

/**
 * The clock of one event loop. It is set to milliseconds since the Unix epoch at its creation and is monotonic from
 * then on, so that it can be compared with the start times in an endpoint list. Used on its event loop only, apart from
 * {@link #nowMs}.
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

    /** The current time; can be called from any thread. */
    public double nowMs() {
        return toEpochMs(System.nanoTime());
    }

    private double toEpochMs(long nanos) {
        return epochMs + (nanos - startNanos) / NANOS_PER_MS;
    }

    /**
     * The earliest time at which data that is read now may have arrived. To be called before anything else that reads
     * data.
     */
    public double unreadSinceMs() {
        long nowNanos = System.nanoTime();
        return toEpochMs(nowNanos) - polls.unreadForMs(nowNanos);
    }

    /** The number of the loop's polls so far; 0 if it does not report them. */
    public long turn() {
        return polls.turn();
    }

    /**
     * Returns whether this turn of the loop is the given one or the next, which reads the data that was unread until
     * then.
     */
    public boolean isTurnOrNext(long turn) {
        return polls.turn() > 0 && polls.turn() - turn <= 1;
    }

    /**
     * Returns whether the close of a connection may have gone unnoticed for a long time; see
     * {@link PollClock#isBehind}.
     */
    public boolean isBehind() {
        return polls.turn() > 0 && polls.isBehind(System.nanoTime());
    }

    /** Records that an event is handled: data that is read later in this turn may have been waiting since now. */
    public void recordEventHandling() {
        polls.recordEventHandling(System.nanoTime());
    }
}
