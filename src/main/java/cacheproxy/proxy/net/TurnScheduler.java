package cacheproxy.proxy.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Shares each turn of an event loop between many users. Work is queued and runs in slices, one user after the other,
 * for a bounded time in each turn; what is left runs in later turns, after the loop has polled its sockets and run its
 * timers. A few events and slices run in each turn however long they take, as a process with a fraction of a core is
 * stopped within them. Used on its event loop only.
 */
public final class TurnScheduler {
    /** How long a slice should last; see {@link Work#runSlice}. */
    public static final long SLICE_NANOS = TimeUnit.MICROSECONDS.toNanos(125);

    /** How long events of users may be handled in one turn before they are queued. */
    private static final long DIRECT_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    /** How long the work of users that have no backlog may take in one turn. */
    private static final long NEW_WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    /** How long the work of users with a backlog may take in one turn. */
    private static final long BACKLOG_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

    private static final int MIN_DIRECT_EVENTS = 4;
    private static final int MIN_NEW_SLICES = 8;
    private static final int MIN_BACKLOG_SLICES = 2;

    /** What a user has to do. */
    @FunctionalInterface
    public interface Work {
        /**
         * Does a part of it, in {@link #SLICE_NANOS} at most unless a single step takes longer; returns whether more is
         * left, which then counts as a backlog and runs after the work of all other users.
         */
        boolean runSlice();
    }

    private final EventLoop loop;
    private final PollClock polls;
    private final FaultMonitor faults;
    private final WorkQueue newWork = new WorkQueue(NEW_WORK_NANOS, MIN_NEW_SLICES);
    private final WorkQueue backlog = new WorkQueue(BACKLOG_NANOS, MIN_BACKLOG_SLICES);
    private final Runnable run = this::run;
    private boolean runPending;
    private boolean nextTurnPending;
    private long currentTurn;
    private long remainingDirectNanos = DIRECT_NANOS;
    private int directEvents;
    private long turnsCutShort;

    /**
     * Creates a scheduler without work.
     *
     * @param polls tells the turns of the loop apart; without reports to it, each run counts as a turn
     * @param faults records what a slice throws; the other users' work runs nevertheless
     */
    public TurnScheduler(EventLoop loop, PollClock polls, FaultMonitor faults) {
        this.loop = loop;
        this.polls = polls;
        this.faults = faults;
    }

    /** Returns whether an event of a user may be handled at once in this turn, instead of being queued as work. */
    public boolean mayHandleAtOnce() {
        noticeTurn();
        return remainingDirectNanos > 0 || directEvents < MIN_DIRECT_EVENTS;
    }

    /** Records for how long an event of a user was handled at once. */
    public void handledAtOnce(long nanos) {
        remainingDirectNanos -= nanos;
        directEvents++;
    }

    private void noticeTurn() {
        if (polls.turn() == 0 || polls.turn() != currentTurn) {
            currentTurn = polls.turn();
            remainingDirectNanos = DIRECT_NANOS;
            directEvents = 0;
            newWork.beginTurn();
            backlog.beginTurn();
        }
    }

    /** Queues the work of a user without a backlog. It must not be queued already. */
    public void schedule(Work work) {
        add(newWork, work);
    }

    /** Queues the work of a user that has more to do than others have. It must not be queued already. */
    public void scheduleBacklog(Work work) {
        add(backlog, work);
    }

    private void add(WorkQueue queue, Work work) {
        queue.add(work);
        if (!runPending) {
            runPending = true;
            loop.execute(run);
        }
    }

    /** How often work was left for the next turn. */
    public long turnsCutShort() {
        return turnsCutShort;
    }

    private void run() {
        runPending = false;
        long startNanos = System.nanoTime();
        polls.recordEventHandling(startNanos);
        noticeTurn();
        backlog.run(newWork.run(startNanos));
        if (!newWork.isEmpty() || !backlog.isEmpty()) {
            continueInNextTurn();
        }
    }

    /** A task that is executed runs in this turn, one that is scheduled runs after the sockets have been polled. */
    @SuppressWarnings("FutureReturnValueIgnored") // the task is never cancelled and throws nothing
    private void continueInNextTurn() {
        if (!nextTurnPending) {
            nextTurnPending = true;
            turnsCutShort++;
            loop.schedule(this::runNextTurn, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void runNextTurn() {
        nextTurnPending = false;
        run();
    }

    /** Work in the order of its arrival, and how long it may still run in this turn. */
    private final class WorkQueue {
        private final long nanosPerTurn;
        private final int minSlicesPerTurn;
        private final ArrayDeque<Work> queue = new ArrayDeque<>();
        private long remainingNanos;
        private int remainingMinSlices;

        WorkQueue(long nanosPerTurn, int minSlicesPerTurn) {
            this.nanosPerTurn = nanosPerTurn;
            this.minSlicesPerTurn = minSlicesPerTurn;
        }

        void add(Work work) {
            queue.add(work);
        }

        boolean isEmpty() {
            return queue.isEmpty();
        }

        void beginTurn() {
            remainingNanos = nanosPerTurn;
            remainingMinSlices = minSlicesPerTurn;
        }

        /** Runs slices until none is left or the time is used; returns the time at its end. */
        long run(long startNanos) {
            long nowNanos = startNanos;
            while ((remainingNanos > 0 || remainingMinSlices > 0) && !queue.isEmpty()) {
                remainingMinSlices--;
                Work work = queue.poll();
                if (runSlice(work)) {
                    backlog.add(work);
                }
                long endNanos = System.nanoTime();
                remainingNanos -= endNanos - nowNanos;
                nowNanos = endNanos;
            }
            return nowNanos;
        }

        private boolean runSlice(Work work) {
            try {
                return work.runSlice();
            } catch (RuntimeException | Error e) {
                faults.record(e);
                return false;
            }
        }
    }
}
