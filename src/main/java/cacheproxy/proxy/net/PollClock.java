package cacheproxy.proxy.net;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import java.util.concurrent.TimeUnit;

/**
 * Bounds how long the data that an event loop reads now may have waited unread, from the times at which the loop polled
 * its sockets. During a pause of the process (a stop signal, a busy machine, a long garbage collection) the loop
 * notices no time passing, but its clients do.
 *
 * <p>The loop is woken every {@link #HEARTBEAT_MS}, so a poll that lasts longer than {@link #MAX_POLL_MS} indicates a
 * pause. A shorter pause can't be distinguished from a poll that found nothing. Used on its event loop only; times are
 * those of {@link System#nanoTime}.
 */
public final class PollClock {
    /** Interval in which the loop is to be woken, in milliseconds. */
    public static final double HEARTBEAT_MS = 100;
    /**
     * The heartbeat, plus the delay that its timer and a busy machine can add; a poll that lasts longer indicates a
     * pause.
     */
    static final double MAX_POLL_MS = HEARTBEAT_MS + 25;

    private static final long MAX_POLL_NANOS = (long) (MAX_POLL_MS * 1e6);
    /**
     * If events have waited for longer than this, the loop is behind: half of the time for which a close is allowed to
     * go unnoticed.
     */
    static final double BEHIND_THRESHOLD_MS = 50;
    /**
     * A poll that lasts longer than this may hide a pause; the polls of an idle loop last for a heartbeat, and few end
     * just before it.
     */
    private static final long LONG_POLL_NANOS = (long) (0.9 * HEARTBEAT_MS * 1e6);

    /** Number of the current iteration of the loop, which begins with a poll. */
    private long turn;
    /** When the poll of this turn began. */
    private long pollStartNanos;
    /** When the first event of this turn was handled; valid if {@link #eventHandled}. */
    private long firstEventNanos;

    private boolean eventHandled;
    private final DurationHistogram busyTurns = new DurationHistogram();
    /** How long the previous turn spent in handling events, or in a poll with a pause. */
    private long previousTurnBusyNanos;

    /** Returns the factory of an event loop that reports each poll to this clock. */
    public IoHandlerFactory newIoHandlerFactory(Transport transport) {
        SelectStrategyFactory strategies = () -> (selectNow, hasTasks) -> {
            recordPoll(System.nanoTime());
            return hasTasks ? selectNow.get() : SelectStrategy.SELECT;
        };
        return transport.io(strategies);
    }

    /** Records that the loop is about to poll its sockets. */
    void recordPoll(long nowNanos) {
        if (eventHandled) {
            busyTurns.record(nowNanos - firstEventNanos);
        }
        if (turn > 0) {
            previousTurnBusyNanos =
                    eventHandled || hasPollPaused(nowNanos) ? nowNanos - unpolledSinceNanos(nowNanos) : 0;
        }
        pollStartNanos = nowNanos;
        eventHandled = false;
        turn++;
    }

    /** Records that the loop handles an event; only the first call of each turn has an effect. */
    public void recordEventHandling(long nowNanos) {
        if (!eventHandled) {
            eventHandled = true;
            firstEventNanos = nowNanos;
        }
    }

    /** Describes for how long turns have handled events without a poll. */
    String busyTurns() {
        return busyTurns.summary();
    }

    /** The number of polls so far; 0 before the first, and if the loop does not report to this clock. */
    public long turn() {
        return turn;
    }

    /** Upper bound of the time, in milliseconds, for which data read now has been unread, apart from short pauses. */
    public double unreadForMs(long nowNanos) {
        recordEventHandling(nowNanos);
        if (turn == 0) {
            return 0;
        }
        long since = unpolledSinceNanos(nowNanos) - previousTurnBusyNanos;
        return (nowNanos - since) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    /**
     * Returns whether the close of a connection may have gone unnoticed for a long time: events have waited for the
     * loop, or the poll of this turn may have returned before a pause that is shorter than the longest poll.
     */
    public boolean isBehind(long nowNanos) {
        return unreadForMs(nowNanos) > BEHIND_THRESHOLD_MS || nowNanos - pollStartNanos > LONG_POLL_NANOS;
    }

    /**
     * Returns whether the poll of this turn included a pause; if no event has been handled yet, whether it has by now.
     */
    private boolean hasPollPaused(long nowNanos) {
        return (eventHandled ? firstEventNanos : nowNanos) - pollStartNanos > MAX_POLL_NANOS;
    }

    /**
     * Returns the time since which the sockets have not been polled in this turn. A poll with a pause may have returned
     * without the events that occurred during the pause.
     */
    private long unpolledSinceNanos(long nowNanos) {
        return hasPollPaused(nowNanos) ? pollStartNanos : firstEventNanos;
    }
}
