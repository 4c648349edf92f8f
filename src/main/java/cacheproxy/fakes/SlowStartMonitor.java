package cacheproxy.fakes;

import java.util.ArrayDeque;

/**
 * Watches what a freshly started node is sent against what it can do at that moment: the rule that no cold node is
 * pushed over, measured at the node. Times in milliseconds.
 */
public final class SlowStartMonitor {
    private final double perSecond;
    private final double startCapacity;
    private final double warmUpMs;
    private final double fallMs;
    private final ArrayDeque<Double> arrivals = new ArrayDeque<>();
    private double bornMs = Double.NaN;
    private double worst;
    private int sent;

    /** @param perSecond what the node can do when warm */
    public SlowStartMonitor(double perSecond, double startCapacity, double warmUpMs, double fallMs) {
        this.perSecond = perSecond;
        this.startCapacity = startCapacity;
        this.warmUpMs = warmUpMs;
        this.fallMs = fallMs;
    }

    public void born(double now) {
        bornMs = now;
        arrivals.clear();
    }

    public void arrived(double now) {
        if (Double.isNaN(bornMs) || now - bornMs > warmUpMs) {
            return;
        }
        sent++;
        arrivals.add(now);
        while (arrivals.peek() < now - fallMs) {
            arrivals.poll();
        }
        double from = arrivals.peek();
        double can = startCapacity + (1 - startCapacity) * Math.max(0, from - bornMs) / warmUpMs;
        worst = Math.max(worst, arrivals.size() / (perSecond * can * fallMs / 1000));
    }

    /** The most it was sent in any span of the fall time, as a multiple of what it could do at the span's start. */
    public double worst() {
        return worst;
    }

    /** What it was sent while it was cold. */
    public int sent() {
        return sent;
    }
}
