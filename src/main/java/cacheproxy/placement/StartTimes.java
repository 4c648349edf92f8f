package cacheproxy.placement;

import cacheproxy.policy.Endpoint;
import java.util.Collection;

/**
 * Converts the start times in endpoint lists to this proxy's clock.
 *
 * <p>Listed start times are on another machine's wall clock, and this machine's clock may be wrong by an hour, so the
 * two clocks are never compared. Instead, because a listed server must have started before the list arrived, each
 * listed start gives a lower bound of how far the list's clock is ahead; the greatest bound is used. With this estimate
 * no server seems older than it is, and the newest server of the first list seems to have just started.
 *
 * <p>Times are milliseconds. The state is one number.
 */
public final class StartTimes {
    /** Longest time from a server's restart until a list that reports it arrives, in milliseconds. */
    public static final double MAX_LIST_DELAY_MS = 3000;

    /** Listed times of this value or more, in Unix milliseconds, mean that the server has not started yet. */
    private static final double MAX_START_MS = 1e15;

    /** Lower bound of the lists' clock minus this proxy's; negative infinity if no list has reported a start. */
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
     * @param listedStartMs the start time in the list
     * @param restartSeenMs when a list first reported this start after an earlier list had not, on this proxy's clock;
     *     negative infinity if the first list reported it
     */
    public double startedMs(double listedStartMs, double restartSeenMs) {
        return Math.max(listedStartMs - listClockAheadMs, restartSeenMs - MAX_LIST_DELAY_MS);
    }

    /** Returns whether a listed time is a known start: not 0, which means long ago, nor a start that is yet to come. */
    private static boolean isStart(double listedStartMs) {
        return listedStartMs > 0 && listedStartMs < MAX_START_MS;
    }
}
