package cacheproxy.fleet.lease;

import java.util.Arrays;

/**
 * Whether an event loop is punctual enough for its process to hold leases. A loop that is repeatedly late loses leases
 * unexpectedly, and acts late while it holds them.
 */
public final class EventLoopHealth {
    private final double lateThresholdMs;
    private final int maxLateTasks;
    private final double windowMs;
    /** When the last tasks were late, as a ring whose oldest entry is at {@link #nextIndex}. */
    private final double[] lateAtMs;

    private int nextIndex;
    private double unhealthyUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a detector that has seen no task.
     *
     * @param lateThresholdMs a task with at least this delay counts as late, above 0
     * @param maxLateTasks so many late tasks within the window make the loop unhealthy, at least 1
     * @param windowMs length of the window, and for how long the loop then counts as unhealthy, above 0
     * @throws IllegalArgumentException if a parameter is out of its range
     */
    public EventLoopHealth(double lateThresholdMs, int maxLateTasks, double windowMs) {
        if (!(lateThresholdMs > 0) || maxLateTasks < 1 || !(windowMs > 0)) {
            throw new IllegalArgumentException(
                    "late " + lateThresholdMs + ", " + maxLateTasks + " times within " + windowMs);
        }
        this.lateThresholdMs = lateThresholdMs;
        this.maxLateTasks = maxLateTasks;
        this.windowMs = windowMs;
        lateAtMs = new double[maxLateTasks];
        Arrays.fill(lateAtMs, Double.NEGATIVE_INFINITY);
    }

    /** A task of the loop ran {@code lateByMs} after its due time. */
    public void recordTask(double nowMs, double lateByMs) {
        if (lateByMs < lateThresholdMs) {
            return;
        }
        lateAtMs[nextIndex] = nowMs;
        nextIndex = (nextIndex + 1) % maxLateTasks;
        if (nowMs - lateAtMs[nextIndex] <= windowMs) {
            unhealthyUntilMs = nowMs + windowMs;
        }
    }

    /** Whether the process may hold leases, as far as its event loop is concerned. */
    public boolean isHealthy(double nowMs) {
        return nowMs >= unhealthyUntilMs;
    }
}
