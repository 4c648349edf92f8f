package cacheproxy.proxy.net;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import java.util.concurrent.TimeUnit;

/**
 * Knows when an event loop last looked at its sockets, and so how long what it reads now may have waited unread: for
 * the whole of a pause of the process (a stop signal, a busy machine, a long collection) the loop sees no time pass,
 * but its clients do.
 *
 * <p>The loop is to do something every {@link #HEARTBEAT_MS}: a poll that lasts longer than {@link #MAX_POLL_MS} then
 * has met a pause. A pause that is shorter than a poll may last can't be told from one. Used on its loop only; times
 * are those of {@link System#nanoTime}.
 */
public final class PollClock {
    /** How often the loop is to be woken where nothing else does. */
    public static final double HEARTBEAT_MS = 100;
    /** A poll that lasts longer has met a pause: the heartbeat's time and what its timer and a busy machine may add. */
    static final double MAX_POLL_MS = HEARTBEAT_MS + 25;

    private static final long MAX_POLL_NANOS = (long) (MAX_POLL_MS * 1e6);

    private long turn;
    /** When this turn's poll began. */
    private long pollNanos;
    /** When the first event of this turn was handled. */
    private long handledNanos;

    private boolean handled;
    /** How long the turn before this one was at work after its poll, or in a poll that met a pause. */
    private long busyNanos;

    /** Handlers of a loop that tells this clock of each poll. */
    public IoHandlerFactory watch(Transport transport) {
        SelectStrategyFactory strategies = () -> (selectNow, hasTasks) -> {
            polling(System.nanoTime());
            return hasTasks ? selectNow.get() : SelectStrategy.SELECT;
        };
        return transport.io(strategies);
    }

    /** The loop is about to poll its sockets. */
    void polling(long nowNanos) {
        if (turn > 0) {
            busyNanos = handled || paused(nowNanos) ? nowNanos - workedSinceNanos(nowNanos) : 0;
        }
        pollNanos = nowNanos;
        handled = false;
        turn++;
    }

    /** The loop handles an event. */
    public void handling(long nowNanos) {
        if (!handled) {
            handled = true;
            handledNanos = nowNanos;
        }
    }

    /** Counts the loop's polls, from 1; 0 before the first and where the loop tells nothing. */
    public long turn() {
        return turn;
    }

    /**
     * How long, in milliseconds, what is read now may have waited at the most, apart from a pause shorter than a poll.
     */
    public double unreadForMs(long nowNanos) {
        handling(nowNanos);
        if (turn == 0) {
            return 0;
        }
        long since = workedSinceNanos(nowNanos) - busyNanos;
        return (nowNanos - since) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    /** Whether this turn's poll has met a pause; of a turn that has handled nothing yet, by now. */
    private boolean paused(long nowNanos) {
        return (handled ? handledNanos : nowNanos) - pollNanos > MAX_POLL_NANOS;
    }

    /**
     * Since when this turn has not looked at its sockets. A poll that a pause ended may have come back without seeing
     * what came in it.
     */
    private long workedSinceNanos(long nowNanos) {
        return paused(nowNanos) ? pollNanos : handledNanos;
    }
}
