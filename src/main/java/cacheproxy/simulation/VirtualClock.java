package cacheproxy.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Time that stands still while something happens. What is due at one moment happens in the order in which it was asked
 * for.
 */
final class VirtualClock {
    private record Event(double at, long order, Runnable run) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparing(Event::order));
    private long order;
    private double now;

    VirtualClock(double startMs) {
        now = startMs;
    }

    /** In milliseconds. */
    double now() {
        return now;
    }

    void after(double ms, Runnable run) {
        events.add(new Event(now + Math.max(0, ms), order++, run));
    }

    /** Until nothing is left to happen. */
    void run() {
        for (Event e; (e = events.poll()) != null; ) {
            now = e.at();
            e.run().run();
        }
    }
}
