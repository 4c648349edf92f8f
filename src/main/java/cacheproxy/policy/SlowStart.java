package cacheproxy.policy;

import cacheproxy.placement.StartTimes;
import java.util.List;

/**
 * Limits what a server receives while it warms up after its start: its empty cache has only a fraction of its capacity,
 * which grows linearly to the whole over {@link PolicySettings#warmUpMs}. Retries and requests for spread keys are kept
 * away from it.
 */
final class SlowStart {
    /**
     * Under overload a server that warms up takes less, by this factor at most: kept empty, it would leave the overload
     * to the others.
     */
    private static final double MAX_OVERLOAD_FACTOR = 1.5;

    /** Of a key's fair share: what a server that warms up may receive of a key's first recent request. */
    private static final double FIRST_REQUEST_FAIR_SHARES = 3;

    /** The same for each later request. */
    private static final double LATER_REQUEST_FAIR_SHARES = 0.5;

    private final PolicyEnvironment environment;
    private final PolicySettings settings;
    private final LoadEstimates estimates;
    private final StartTimes startTimes = new StartTimes();

    SlowStart(PolicyEnvironment environment, LoadEstimates estimates) {
        this.environment = environment;
        this.estimates = estimates;
        settings = environment.settings();
    }

    /** Records the start times of a received list. */
    void recordList(double nowMs, List<Endpoint> endpoints) {
        startTimes.recordList(nowMs, endpoints);
    }

    /** Whether a server is still in its slow start. */
    boolean isWarmingUp(double nowMs, ServerState server) {
        return server.endpoint().startedMs() != 0 && nowMs - startedMs(server) < settings.warmUpMs();
    }

    /**
     * Whether a server may receive a request's next attempt, which counts as sent if so. Always true for a server that
     * has warmed up.
     */
    boolean admits(double nowMs, PendingRequest pending, ServerState server) {
        if (!isWarmingUp(nowMs, server)) {
            return true;
        }
        if (pending.attempts() > 0 || pending.hotKeySpread() > 1) {
            return false;
        }
        // Chosen at random rather than by key: of keys that all proxies choose alike, a new hot one would come from
        // all.
        return environment.random().nextDouble() < acceptedFraction(nowMs, server) * fairFraction(pending, server)
                && environment.admission().admitWarmingUp(nowMs, server.endpoint(), startedMs(server));
    }

    private double acceptedFraction(double nowMs, ServerState server) {
        double ageMs = Math.max(0, nowMs - startedMs(server));
        double initial = settings.initialCapacityFraction();
        double capacity = initial + (1 - initial) * ageMs / settings.warmUpMs();
        return capacity
                / Math.min(MAX_OVERLOAD_FACTOR, estimates.serverThrottle().pressure(nowMs));
    }

    /**
     * The fraction of a key's requests that leaves the server with its fair share of them. A proxy that has just
     * started cannot tell hot keys from others and accepts little until it has seen some requests.
     */
    private double fairFraction(PendingRequest pending, ServerState server) {
        double fairRequests = estimates.hotKeys().ownCount()
                * server.weightFraction()
                * (pending.recentKeyRequests() > 1 ? LATER_REQUEST_FAIR_SHARES : FIRST_REQUEST_FAIR_SHARES);
        return Math.min(1, fairRequests / pending.recentKeyRequests());
    }

    private double startedMs(ServerState server) {
        return startTimes.startedMs(server.endpoint().startedMs(), server.restartSeenMs());
    }
}
