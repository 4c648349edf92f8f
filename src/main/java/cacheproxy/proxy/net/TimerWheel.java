package cacheproxy.proxy.net;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

public final class TimerWheel {
    private static final long SLOT_NANOS = 2_000_000;
    /** A power of two; with the slot's length it covers the longest deadline. Later timers are set anew then. */
    private static final int SLOTS = 2048;

    /** A task that may be called off. */
    public static final class Timer {
        private Runnable task;

        private Timer(Runnable task) {
            this.task = task;
        }

        public void cancel() {
            task = null;
        }
    }

    private final EventLoop loop;
    private final PollClock polls;
    private final long start = System.nanoTime();
    private final List<List<Timer>> slots = new ArrayList<>(SLOTS);
    private final BitSet used = new BitSet(SLOTS);
    /** The last slot, counted from the start, whose timers have run. */
    private long done;
    /** The slot that the event loop will wake for; 0 for none. */
    private long armed;

    private List<Timer> spare = new ArrayList<>();

    public TimerWheel(EventLoop loop, PollClock polls) {
        this.loop = loop;
        this.polls = polls;
        for (int i = 0; i < SLOTS; i++) {
            slots.add(new ArrayList<>(0));
        }
    }

    /** Runs the task after this time, never before and up to a slot later; timers of one slot keep their order. */
    @SuppressWarnings("FutureReturnValueIgnored")
    public // the timer is never cancelled; what it runs handles its own errors
    Timer after(double ms, Runnable task) {
        Timer timer = new Timer(task);
        long now = System.nanoTime() - start;
        long slot = Math.max(done + 1, (now + (long) (Math.max(0, ms) * 1e6)) / SLOT_NANOS + 1);
        if (slot - done >= SLOTS) {
            loop.schedule(() -> run(timer), (long) (ms * 1e6), TimeUnit.NANOSECONDS);
            return timer;
        }
        int at = (int) (slot & SLOTS - 1);
        slots.get(at).add(timer);
        used.set(at);
        if (armed == 0 || slot < armed) {
            arm(slot, now);
        }
        return timer;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void arm(long slot, long now) {
        armed = slot;
        loop.schedule(() -> tick(slot), Math.max(0, slot * SLOT_NANOS - now), TimeUnit.NANOSECONDS);
    }

    private void tick(long slot) {
        polls.handling(System.nanoTime());
        if (slot != armed) {
            return; // an earlier one has been armed since, and has armed this one's again
        }
        armed = 0;
        long last = (System.nanoTime() - start) / SLOT_NANOS;
        for (long next; (next = next()) != 0 && next <= last; ) {
            done = next;
            int at = (int) (next & SLOTS - 1);
            List<Timer> due = slots.set(at, spare);
            used.clear(at);
            due.forEach(this::run);
            due.clear();
            spare = due;
        }
        done = Math.max(done, last);
        long next = next();
        if (next != 0 && (armed == 0 || next < armed)) {
            arm(next, System.nanoTime() - start);
        }
    }

    /** The first slot after the last that has run and that has timers; 0 if none has. */
    private long next() {
        int from = (int) (done + 1 & SLOTS - 1);
        int at = used.nextSetBit(from);
        if (at < 0) {
            at = used.nextSetBit(0);
        }
        return at < 0 ? 0 : done + 1 + (at - from & SLOTS - 1);
    }

    private void run(Timer timer) {
        Runnable task = timer.task;
        if (task != null) {
            timer.task = null;
            task.run();
        }
    }
}
