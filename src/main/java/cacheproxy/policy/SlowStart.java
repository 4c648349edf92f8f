package cacheproxy.policy;

import cacheproxy.placement.StartTimes;
import java.util.List;

/**
 * Limits the requests to a server that is warming up after its start. With an empty cache it has only a fraction of its
 * capacity, which grows linearly to the full capacity over {@link PolicySettings#warmUpMs}. It receives no retries and
 * no requests for hot keys that are spread.
 */
final class SlowStart {
    /**
     * Under overload a server that is warming up accepts less, by at most this factor. If it were kept empty, the other
     * servers would have to carry the overload alone.
     */
    private static final double MAX_OVERLOAD_FACTOR = 1.5;

    /**
     * Multiple of its fair share of a key's requests that a server that is warming up may receive, for the key's first
     * recent request.
     */
    private static final double FIRST_REQUEST_FAIR_SHARES = 3;

    /** The same multiple of the fair share, for each later request. */
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
     * Returns whether a server may receive a request's next attempt, which then counts as sent. Always true for a
     * server that has warmed up.
     */
    boolean admits(double nowMs, PendingRequest pending, ServerState server) {
        if (!isWarmingUp(nowMs, server)) {
            return true;
        }
        if (pending.attempts() > 0 || pending.hotKeySpread() > 1) {
            return false;
        }
        // Requests are admitted at random rather than by key: if all proxies admitted the same keys, a new hot key
        // among them would arrive from all proxies.
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
     * Returns the fraction of a key's requests to admit so that the server receives its fair share of them. A proxy
     * that has just started cannot distinguish hot keys from others and admits little until it has seen some requests.
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
