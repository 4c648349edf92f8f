package cacheproxy.fakes;

import java.util.ArrayDeque;

/**
 * Watches what a freshly started node is sent against what it can do at that moment: the rule that no cold node is
 * pushed over, measured at the node. Times in milliseconds.
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

    /** @param warmCapacityPerSecond what the node can do when warm */
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

    /** The most it was sent in any span of the fall time, as a multiple of what it could do at the span's start. */
    public double worstOverload() {
        return worstOverload;
    }

    /** What it was sent while it was cold. */
    public int requestsWhileCold() {
        return requestsWhileCold;
    }
}
