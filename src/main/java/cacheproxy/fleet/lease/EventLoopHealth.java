package cacheproxy.fleet.lease;

/**
 * Whether a process's loop is punctual enough to hold duties: one that is late again and again would lose them by
 * surprise, and does what it does under them late. Times in milliseconds.
 */
public final class EventLoopHealth {
    private final double lateMs;
    private final int often;
    private final double withinMs;
    private final double[] lates;
    private int next;
    private double illUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * @param lateMs what counts as late
     * @param often so many times
     * @param withinMs within so long it is ill, and for as long again
     */
    public EventLoopHealth(double lateMs, int often, double withinMs) {
        if (!(lateMs > 0) || often < 1 || !(withinMs > 0)) {
            throw new IllegalArgumentException("late " + lateMs + ", " + often + " times within " + withinMs);
        }
        this.lateMs = lateMs;
        this.often = often;
        this.withinMs = withinMs;
        lates = new double[often];
        java.util.Arrays.fill(lates, Double.NEGATIVE_INFINITY);
    }

    /** A task of the loop ran so much later than it should have. */
    public void ran(double now, double by) {
        if (by >= lateMs) {
            lates[next] = now;
            next = (next + 1) % often;
            if (now - lates[next] <= withinMs) {
                illUntilMs = now + withinMs;
            }
        }
    }

    public boolean able(double now) {
        return now >= illUntilMs;
    }
}
