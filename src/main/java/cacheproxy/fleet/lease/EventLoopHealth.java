package cacheproxy.fleet.lease;

import java.util.Arrays;

/**
 * Decides whether an event loop runs its tasks punctually enough for its process to hold leases. A process whose loop
 * is repeatedly late loses leases unexpectedly, and acts late while it holds them.
 */
public final class EventLoopHealth {
    private final double lateThresholdMs;
    private final int maxLateTasks;
    private final double windowMs;
    /** The times of the last late tasks, as a ring buffer whose oldest entry is at {@link #nextIndex}. */
    private final double[] lateAtMs;

    private int nextIndex;
    private double unhealthyUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a detector without recorded tasks.
     *
     * @param lateThresholdMs the delay from which a task counts as late, above 0
     * @param maxLateTasks the number of late tasks within the window that makes the loop unhealthy, at least 1
     * @param windowMs the length of the window, and how long the loop then counts as unhealthy, above 0
     * @throws IllegalArgumentException if a parameter is out of its range
     */
    public EventLoopHealth(double lateThresholdMs, int maxLateTasks, double windowMs) {
        if (!(lateThresholdMs > 0) || maxLateTasks < 1 || !(windowMs > 0)) {
            throw new IllegalArgumentException("expected values above 0, but found a lateness threshold in ms of "
                    + lateThresholdMs + ", a maximum number of late tasks of " + maxLateTasks
                    + " and a window in ms of " + windowMs);
        }
        this.lateThresholdMs = lateThresholdMs;
        this.maxLateTasks = maxLateTasks;
        this.windowMs = windowMs;
        lateAtMs = new double[maxLateTasks];
        Arrays.fill(lateAtMs, Double.NEGATIVE_INFINITY);
    }

    /** Records a task of the loop that ran {@code lateByMs} after its due time. */
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

    /** Returns whether the punctuality of the event loop allows the process to hold leases. */
    public boolean isHealthy(double nowMs) {
        return nowMs >= unhealthyUntilMs;
    }
}
