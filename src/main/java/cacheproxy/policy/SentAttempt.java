package cacheproxy.policy;

/** An attempt that a request has been given. */
final class SentAttempt {
    private final ServerState server;
    private final double sentAtMs;
    private SlowStartReservation reservation;
    private boolean ended;

    /**
     * Creates an attempt in flight.
     *
     * @param reservation its part of the server's slow-start budget; null if it has none
     */
    SentAttempt(double sentAtMs, ServerState server, SlowStartReservation reservation) {
        this.sentAtMs = sentAtMs;
        this.server = server;
        this.reservation = reservation;
    }

    /** Returns the server that it was sent to. */
    ServerState server() {
        return server;
    }

    /** Returns when it was sent. */
    double sentAtMs() {
        return sentAtMs;
    }

    /** Whether it has ended. */
    boolean hasEnded() {
        return ended;
    }

    /** Records its end. */
    void end() {
        ended = true;
    }

    /** Returns its part of the server's slow-start budget; null if it has none. */
    SlowStartReservation reservation() {
        return reservation;
    }

    /** Replaces its part of the server's slow-start budget. */
    void setReservation(SlowStartReservation replacement) {
        reservation = replacement;
    }
}
