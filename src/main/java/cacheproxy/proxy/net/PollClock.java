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
 * <p>The loop is woken every {@link #HEARTBEAT_MS}, so a poll that lasts longer than {@link #MAX_POLL_MS} shows a
 * pause. A shorter pause can't be told from a poll that found nothing. Used on its event loop only; times are those of
 * {@link System#nanoTime}.
 */
public final class PollClock {
    /** Interval in which the loop is to be woken, in milliseconds. */
    public static final double HEARTBEAT_MS = 100;
    /** A poll that lasts longer shows a pause: the heartbeat, plus what its timer and a busy machine may add. */
    static final double MAX_POLL_MS = HEARTBEAT_MS + 25;

    private static final long MAX_POLL_NANOS = (long) (MAX_POLL_MS * 1e6);
    /** Events that have waited for so long show a loop that is behind: half of what a close may go unnoticed. */
    static final double BEHIND_THRESHOLD_MS = 50;
    /**
     * A poll that lasts longer may hide a pause; an idle loop's polls last for a heartbeat, and few end just before.
     */
    private static final long LONG_POLL_NANOS = (long) (0.9 * HEARTBEAT_MS * 1e6);

    /** Number of the current iteration of the loop, which begins with a poll. */
    private long turn;
    /** When the poll of this turn began. */
    private long pollStartNanos;
    /** When the first event of this turn was handled; valid if {@link #eventHandled}. */
    private long firstEventNanos;

    private boolean eventHandled;
    /** How long the previous turn spent in handling events, or in a poll that met a pause. */
    private long previousTurnBusyNanos;

    /** Returns the factory of an event loop that reports each poll to this clock. */
    public IoHandlerFactory newIoHandlerFactory(Transport transport) {
        SelectStrategyFactory strategies = () -> (selectNow, hasTasks) -> {
            recordPoll(System.nanoTime());
            return hasTasks ? selectNow.get() : SelectStrategy.SELECT;
        };
        return transport.io(strategies);
    }

    /** The loop is about to poll its sockets. */
    void recordPoll(long nowNanos) {
        if (turn > 0) {
            previousTurnBusyNanos =
                    eventHandled || hasPollPaused(nowNanos) ? nowNanos - unpolledSinceNanos(nowNanos) : 0;
        }
        pollStartNanos = nowNanos;
        eventHandled = false;
        turn++;
    }

    /** The loop handles an event; only the first call of each turn has an effect. */
    public void recordEventHandling(long nowNanos) {
        if (!eventHandled) {
            eventHandled = true;
            firstEventNanos = nowNanos;
        }
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
     * Whether the end of a connection may have gone unnoticed for long: events have waited for the loop, or the poll of
     * this turn may have returned before a pause that is shorter than a poll may last.
     */
    public boolean isBehind(long nowNanos) {
        return unreadForMs(nowNanos) > BEHIND_THRESHOLD_MS || nowNanos - pollStartNanos > LONG_POLL_NANOS;
    }

    /** Whether the poll of this turn has met a pause; if no event has been handled yet, by now. */
    private boolean hasPollPaused(long nowNanos) {
        return (eventHandled ? firstEventNanos : nowNanos) - pollStartNanos > MAX_POLL_NANOS;
    }

    /**
     * Since when the sockets have not been polled in this turn. A poll that met a pause may have returned without the
     * events that occurred during the pause.
     */
    private long unpolledSinceNanos(long nowNanos) {
        return hasPollPaused(nowNanos) ? pollStartNanos : firstEventNanos;
    }
}
