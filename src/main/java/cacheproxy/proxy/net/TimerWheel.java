package cacheproxy.proxy.net;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A hashed timer wheel for the timers of one event loop, most of which are cancelled before they run. It needs one task
 * of the event loop for all timers of a slot; the only cost of a cancelled timer is its place in the slot. Used on its
 * event loop only.
 */
public final class TimerWheel {
    private static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    /** A power of two. The wheel covers this many slots; later timers are scheduled with the event loop itself. */
    private static final int SLOTS = 2048;

    private static final double NANOS_PER_MS = 1e6;

    /** No slot: slots are counted from 1. */
    private static final long NONE = 0;

    /** A scheduled task that can be cancelled. */
    public static final class Timer {
        /** Null once the task has run or was cancelled. */
        private Runnable task;

        private Timer(Runnable task) {
            this.task = task;
        }

        /** Cancels the task; no effect if it has run already. */
        public void cancel() {
            task = null;
        }

        private void run() {
            Runnable pending = task;
            if (pending != null) {
                task = null;
                pending.run();
            }
        }
    }

    private final EventLoop loop;
    private final PollClock polls;
    private final FaultMonitor faults;
    private final long startNanos = System.nanoTime();
    /**
     * The timers of each slot, in the order in which they were scheduled; a slot's index is its number modulo SLOTS.
     */
    private final List<List<Timer>> slots = new ArrayList<>(SLOTS);
    /** The indices of slots that have timers. */
    private final BitSet occupied = new BitSet(SLOTS);
    /** The last slot, counted from the start, whose timers have run. */
    private long lastRunSlot;
    /** The slot for which the event loop will call {@link #runDue}; {@link #NONE} if there is none. */
    private long armedSlot = NONE;
    /** An empty list that replaces the list of the slot that is run. */
    private List<Timer> spare = new ArrayList<>();

    /**
     * Creates an empty wheel.
     *
     * @param polls notified when timers begin to run
     * @param faults records what a timer throws; the other timers run nevertheless
     */
    public TimerWheel(EventLoop loop, PollClock polls, FaultMonitor faults) {
        this.loop = loop;
        this.polls = polls;
        this.faults = faults;
        for (int i = 0; i < SLOTS; i++) {
            slots.add(new ArrayList<>(0));
        }
    }

    /**
     * Runs the task after this time, never earlier and up to a slot later. Timers of one slot run in the order in which
     * they were scheduled. The task never runs from within this call.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    public Timer after(double ms, Runnable task) {
        Timer timer = new Timer(task);
        long nowNanos = nanosSinceStart();
        long slot = Math.max(lastRunSlot + 1, (nowNanos + (long) (Math.max(0, ms) * NANOS_PER_MS)) / SLOT_NANOS + 1);
        if (slot - lastRunSlot >= SLOTS) {
            loop.schedule(() -> run(timer), (long) (ms * NANOS_PER_MS), TimeUnit.NANOSECONDS);
            return timer;
        }
        int index = index(slot);
        slots.get(index).add(timer);
        occupied.set(index);
        if (armedSlot == NONE || slot < armedSlot) {
            arm(slot, nowNanos);
        }
        return timer;
    }

    private long nanosSinceStart() {
        return System.nanoTime() - startNanos;
    }

    private static int index(long slot) {
        return (int) (slot & SLOTS - 1);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void arm(long slot, long nowNanos) {
        armedSlot = slot;
        loop.schedule(() -> runDue(slot), Math.max(0, slot * SLOT_NANOS - nowNanos), TimeUnit.NANOSECONDS);
    }

    private void runDue(long slot) {
        polls.recordEventHandling(System.nanoTime());
        if (slot != armedSlot) {
            return; // an earlier slot was armed after this one, and then this one was armed again
        }
        armedSlot = NONE;
        long currentSlot = nanosSinceStart() / SLOT_NANOS;
        for (long next; (next = nextOccupiedSlot()) != NONE && next <= currentSlot; ) {
            runSlot(next);
        }
        lastRunSlot = Math.max(lastRunSlot, currentSlot);
        long next = nextOccupiedSlot();
        if (next != NONE && (armedSlot == NONE || next < armedSlot)) {
            arm(next, nanosSinceStart());
        }
    }

    private void runSlot(long slot) {
        lastRunSlot = slot;
        int index = index(slot);
        List<Timer> due = slots.set(index, spare);
        occupied.clear(index);
        due.forEach(this::run);
        due.clear();
        spare = due;
    }

    private void run(Timer timer) {
        try {
            timer.run();
        } catch (RuntimeException | Error e) {
            faults.record(e);
        }
    }

    /** The first slot that has timers, after the last slot that has run. */
    private long nextOccupiedSlot() {
        int from = index(lastRunSlot + 1);
        int index = occupied.nextSetBit(from);
        if (index < 0) {
            index = occupied.nextSetBit(0);
        }
        return index < 0 ? NONE : lastRunSlot + 1 + (index - from & SLOTS - 1);
    }
}
