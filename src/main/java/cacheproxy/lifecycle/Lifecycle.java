package cacheproxy.lifecycle;

/**
 * The state of a serving process, which determines whether it reports that it accepts clients, whether it accepts new
 * connections, and which open connections it closes between requests. Times are milliseconds of one monotonic clock.
 *
 * <p>Connections are closed over a period, because if all were closed together, their clients would reconnect to the
 * other proxies at the same moment. Each connection has a position from 0 to 1 ({@link #closingPosition}), and is
 * closed between requests once {@link #closingFraction} has passed it.
 */
public final class Lifecycle {
    /** Fractional part of the golden ratio: its multiples modulo 1 are evenly distributed. */
    private static final double GOLDEN_RATIO_FRACTION = 0.618_033_988_749_894_9;

    private final LifecycleTiming timing;
    private LifecycleState state = LifecycleState.ACTIVE;
    private boolean hasSuccessor;
    /** When {@link #state} was entered; unused while the process is active. */
    private double stateSinceMs;

    /** Creates the lifecycle of a process that is active. */
    public Lifecycle(LifecycleTiming timing) {
        this.timing = timing;
    }

    /** Returns the present state. */
    public LifecycleState state() {
        return state;
    }

    /** Enters standby; no effect if the process is in standby already. Returns false if it is shutting down. */
    public boolean enterStandby(double nowMs) {
        if (state == LifecycleState.ACTIVE) {
            state = LifecycleState.STANDBY;
            stateSinceMs = nowMs;
        }
        return state != LifecycleState.SHUTTING_DOWN;
    }

    /** Becomes active again; no effect if the process is active already. Returns false if it is shutting down. */
    public boolean leaveStandby() {
        if (state == LifecycleState.STANDBY) {
            state = LifecycleState.ACTIVE;
        }
        return state != LifecycleState.SHUTTING_DOWN;
    }

    /**
     * Begins the shutdown; later calls have no effect.
     *
     * @param successorListens whether another process already accepts connections at the same address
     */
    public void beginShutdown(double nowMs, boolean successorListens) {
        if (state != LifecycleState.SHUTTING_DOWN) {
            state = LifecycleState.SHUTTING_DOWN;
            hasSuccessor = successorListens;
            stateSinceMs = nowMs;
        }
    }

    /**
     * Returns whether health checks report that the process accepts clients. A process that is shutting down reports
     * this until it exits: reporting otherwise would also count against a successor at its address, and without a
     * successor the address soon stops answering anyway.
     */
    public boolean acceptsClients() {
        return state != LifecycleState.STANDBY;
    }

    /**
     * Returns whether new connections are accepted; in standby they are, because the load balancer may already have
     * sent them.
     */
    public boolean acceptsConnections(double nowMs) {
        if (state != LifecycleState.SHUTTING_DOWN) {
            return true;
        }
        return !hasSuccessor && nowMs < stateSinceMs + timing.extraListenMs();
    }

    /**
     * Returns the fraction of connections, by their positions, to close between requests; from 0 to 1, where 1 means
     * all.
     */
    public double closingFraction(double nowMs) {
        return switch (state) {
            case ACTIVE -> 0;
            case STANDBY -> elapsedFraction(nowMs - timing.standbyDelayMs(), timing.standbyDrainMs());
            case SHUTTING_DOWN -> shutdownFraction(nowMs);
        };
    }

    /**
     * Returns whether requests are no longer read from connections that were open before the process entered standby.
     * Those that always have a request in hand are never between requests, so they end by this.
     */
    public boolean endsReading(double nowMs) {
        return state == LifecycleState.STANDBY && nowMs >= stateSinceMs + timing.standbyReadMs();
    }

    private double shutdownFraction(double nowMs) {
        if (hasSuccessor) {
            return elapsedFraction(nowMs, timing.shutdownDrainMs());
        }
        return acceptsConnections(nowMs) ? 0 : 1;
    }

    private double elapsedFraction(double nowMs, double periodMs) {
        if (nowMs < stateSinceMs) {
            return 0;
        }
        return periodMs == 0 ? 1 : Math.min(1, (nowMs - stateSinceMs) / periodMs);
    }

    /**
     * Returns the position of a connection, from 0 to below 1, by the number of connections accepted before it. The
     * positions of consecutive numbers are spread evenly (Fibonacci hashing; Knuth, The Art of Computer Programming,
     * volume 3, section 6.4).
     */
    public static double closingPosition(long connectionNumber) {
        double multiple = connectionNumber * GOLDEN_RATIO_FRACTION;
        return multiple - Math.floor(multiple);
    }
}
