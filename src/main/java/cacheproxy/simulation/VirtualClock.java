package cacheproxy.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Time that stands still while an event happens. Events that are due at one moment happen in the order in which they
 * were scheduled.
 */
final class VirtualClock {
    private record Event(double atMs, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparing(Event::order));
    private long scheduledEvents;
    private double nowMs;

    VirtualClock(double startMs) {
        nowMs = startMs;
    }

    /** Returns the time in milliseconds. */
    double nowMs() {
        return nowMs;
    }

    /** Schedules an event after so many milliseconds; at once if they are negative. */
    void after(double delayMs, Runnable action) {
        at(nowMs + Math.max(0, delayMs), action);
    }

    /** Schedules an event at a time, which must not have passed. */
    void at(double atMs, Runnable action) {
        events.add(new Event(atMs, scheduledEvents++, action));
    }

    /** Runs until no event is left. */
    void run() {
        runUntil(Double.POSITIVE_INFINITY, () -> {});
    }

    /** Runs the events up to a time, this included, and an action before each of them. */
    void runUntil(double endMs, Runnable beforeEach) {
        for (Event event = events.poll(); event != null && event.atMs() <= endMs; event = events.poll()) {
            nowMs = event.atMs();
            beforeEach.run();
            event.action().run();
        }
    }
}
