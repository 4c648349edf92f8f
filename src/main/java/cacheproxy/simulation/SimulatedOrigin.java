package cacheproxy.simulation;

/**
 * The one store behind all nodes: it can take a third of the requests asked for, and turns away what would wait too
 * long.
 */
final class SimulatedOrigin {
    static final int ID = Integer.MAX_VALUE;
    private static final double QUEUE_MS = 400;
    private static final double TIME_MS = 30;
    private final double eachMs;
    private double busyUntil;

    SimulatedOrigin(double requestsPerMs) {
        eachMs = 3 / requestsPerMs;
    }

    /** Returns when it will have answered; NaN: turned away. */
    double take(double now) {
        if (busyUntil > now + QUEUE_MS) {
            return Double.NaN;
        }
        busyUntil = Math.max(now, busyUntil) + eachMs;
        return busyUntil + TIME_MS;
    }
}
