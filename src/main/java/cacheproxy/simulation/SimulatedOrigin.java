package cacheproxy.simulation;

/**
 * The one store behind all servers: it can take a third of the requests that clients send, and rejects what would wait
 * too long.
 */
final class SimulatedOrigin {
    /** Its id in endpoint lists. */
    static final int ID = Integer.MAX_VALUE;

    private static final double MAX_QUEUE_MS = 400;
    private static final double RESPONSE_MS = 30;
    /** Requests of clients for each that it can take. */
    private static final double CLIENT_REQUESTS_PER_REQUEST = 3;

    private final double intervalMs;
    private double busyUntilMs;

    /** @param clientRequestsPerMs that all clients together send */
    SimulatedOrigin(double clientRequestsPerMs) {
        intervalMs = CLIENT_REQUESTS_PER_REQUEST / clientRequestsPerMs;
    }

    /** Takes a request; returns when it will have responded, or NaN if it rejects the request. */
    double admit(double nowMs) {
        if (busyUntilMs > nowMs + MAX_QUEUE_MS) {
            return Double.NaN;
        }
        busyUntilMs = Math.max(nowMs, busyUntilMs) + intervalMs;
        return busyUntilMs + RESPONSE_MS;
    }
}
