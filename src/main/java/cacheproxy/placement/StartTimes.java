package cacheproxy.placement;

import cacheproxy.policy.Endpoint;
import java.util.Collection;

/**
 * Converts the start times that endpoint lists tell to this proxy's clock.
 *
 * <p>Lists tell starts by another machine's wall clock, and this one's may be wrong by an hour, so the two are never
 * compared. Instead, as a listed server must have started before the list arrived, each listed start gives a lower
 * bound of how far the list's clock is ahead; the greatest bound is used. By that no server seems older than it is, and
 * the newest server of a first list seems to have just started.
 *
 * <p>Times are milliseconds. The state is one number.
 */
public final class StartTimes {
    /** Longest time from a server's restart until a list that tells of it arrives, in milliseconds. */
    public static final double MAX_LIST_DELAY_MS = 3000;

    /** Listed times from this on, in Unix milliseconds, mean a start that is yet to come. */
    private static final double MAX_START_MS = 1e15;

    /** Lower bound of the lists' clock minus this proxy's; negative infinity: no list has told of a start. */
    private double listClockAheadMs = Double.NEGATIVE_INFINITY;

    /**
     * Records a list.
     *
     * @param nowMs when the list arrived, on this proxy's clock
     */
    public void recordList(double nowMs, Collection<Endpoint> servers) {
        for (Endpoint server : servers) {
            if (isStart(server.startedMs())) {
                listClockAheadMs = Math.max(listClockAheadMs, server.startedMs() - nowMs);
            }
        }
    }

    /**
     * Returns the latest time at which a server can have started, on this proxy's clock.
     *
     * @param listedStartMs the start as the list tells it
     * @param restartSeenMs when a list first told of this start after an earlier list had told of another one, on this
     *     proxy's clock; negative infinity: the first list had it
     */
    public double startedMs(double listedStartMs, double restartSeenMs) {
        return Math.max(listedStartMs - listClockAheadMs, restartSeenMs - MAX_LIST_DELAY_MS);
    }

    /** Whether a listed time is a start: not 0, which means long ago, nor one that is yet to come. */
    private static boolean isStart(double listedStartMs) {
        return listedStartMs > 0 && listedStartMs < MAX_START_MS;
    }
}
