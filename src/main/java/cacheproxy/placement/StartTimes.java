package cacheproxy.placement;

import cacheproxy.policy.PolicyApi.Member;
import java.util.Collection;

/**
 * When servers started, on this proxy's own clock. Lists tell it by another machine's wall clock, and ours may be wrong
 * by an hour, or have been when the process started: a cold server must not pass for a warm one for that. So the two
 * clocks are never compared. A server that is on a list has started by then; of all starts that lists have told, the
 * one that came soonest after its own time shows how far the lists' clock is ahead of ours at the least. By that no
 * server seems older than it is, and the newest of a first list seems to have just started.
 *
 * <p>Free of I/O and clocks; times in milliseconds. Holds one figure.
 */
public final class StartTimes {
    /** What a list says of a start is relied on for so long before the list has come. */
    public static final double MAX_LIST_DELAY_MS = 3000;

    /** No Unix time in milliseconds of the next 30,000 years is later. */
    private static final double MAX_START_MS = 1e15;

    /** What lists' times are ahead of ours, at least; negative infinity: no list has told of a start. */
    private double listClockAheadMs = Double.NEGATIVE_INFINITY;

    /** A list has come. */
    public void recordList(double nowMs, Collection<Member> servers) {
        for (Member server : servers) {
            if (isStart(server.bornMs())) {
                listClockAheadMs = Math.max(listClockAheadMs, server.bornMs() - nowMs);
            }
        }
    }

    /**
     * When a server started, at the latest; it may have a little earlier.
     *
     * @param bornMs as its list tells it, which is a start
     * @param changedMs when it was seen to have started since an earlier list; negative infinity: the first list had it
     */
    public double startedMs(double listedStartMs, double restartSeenMs) {
        return Math.max(listedStartMs - listClockAheadMs, restartSeenMs - MAX_LIST_DELAY_MS);
    }

    /** Whether a list's figure is a start: not 0, which is long ago, nor one that is to come. */
    private static boolean isStart(double listedStartMs) {
        return listedStartMs > 0 && listedStartMs < MAX_START_MS;
    }
}
