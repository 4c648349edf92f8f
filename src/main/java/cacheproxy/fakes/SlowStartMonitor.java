package cacheproxy.fakes;

import java.util.ArrayDeque;

/**
 * Compares the load on a freshly started node with its capacity at that time, to check at the node that a cold node is
 * not overloaded. Times are in milliseconds.
 */
public final class SlowStartMonitor {
    private final double warmCapacityPerSecond;
    private final double startCapacity;
    private final double warmUpMs;
    private final double windowMs;
    private final ArrayDeque<Double> arrivals = new ArrayDeque<>();
    private double startMs = Double.NaN;
    private double worstOverload;
    private int requestsWhileCold;

    /** @param warmCapacityPerSecond requests per second that the node can serve when warm */
    public SlowStartMonitor(double warmCapacityPerSecond, double startCapacity, double warmUpMs, double windowMs) {
        this.warmCapacityPerSecond = warmCapacityPerSecond;
        this.startCapacity = startCapacity;
        this.warmUpMs = warmUpMs;
        this.windowMs = windowMs;
    }

    public void recordStart(double nowMs) {
        startMs = nowMs;
        arrivals.clear();
    }

    public void recordArrival(double nowMs) {
        if (Double.isNaN(startMs) || nowMs - startMs > warmUpMs) {
            return;
        }
        requestsWhileCold++;
        arrivals.add(nowMs);
        while (arrivals.peek() < nowMs - windowMs) {
            arrivals.poll();
        }
        double windowStartMs = arrivals.peek();
        double capacityFraction = startCapacity + (1 - startCapacity) * Math.max(0, windowStartMs - startMs) / warmUpMs;
        worstOverload =
                Math.max(worstOverload, arrivals.size() / (warmCapacityPerSecond * capacityFraction * windowMs / 1000));
    }

    /** Returns the highest load in any window, as a multiple of the node's capacity at the start of the window. */
    public double worstOverload() {
        return worstOverload;
    }

    /** Returns the number of requests that the node received while it was cold. */
    public int requestsWhileCold() {
        return requestsWhileCold;
    }
}
