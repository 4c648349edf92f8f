package cacheproxy.policy;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.CarpPlacement;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.siblings.Siblings;
import cacheproxy.snapshot.state.LearnedState;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The routing decisions of one proxy for one pool. This class receives the events and passes each to the class that
 * decides on it; the package documentation lists these classes.
 *
 * <p>Each instance is used on one thread, which passes times of one monotonic clock in milliseconds. The same settings,
 * seed and events give the same actions.
 */
public final class RoutingPolicy implements PolicyApi {
    private final PolicySettings settings;
    private final EndpointList endpointList;
    private final EndpointListWatch listWatch;
    private final LoadEstimates estimates;
    private final OutlierEjection ejection;
    private final SlowStart slowStart;
    private final RequestRouter router;
    private final LearnedStateTransfer stateTransfer;

    /**
     * Creates a policy that has learned nothing, ranks servers by CARP and has neither siblings nor further limits.
     *
     * @param seed of the policy's random draws
     * @throws IllegalArgumentException if the settings have no class or allow no attempt
     */
    public RoutingPolicy(PolicySettings settings, long seed) {
        this(settings, seed, CarpPlacement::new, AdmissionControl.UNLIMITED, Siblings.NONE);
    }

    /**
     * Creates a policy that has learned nothing.
     *
     * @param seed of the policy's random draws
     * @param placements builds the placement of each endpoint list
     * @param admission limits that apply beyond this policy
     * @param siblings the sibling caches among the listed endpoints
     * @throws IllegalArgumentException if the settings have no class or allow no attempt
     */
    public RoutingPolicy(
            PolicySettings settings,
            long seed,
            PlacementFactory placements,
            AdmissionControl admission,
            Siblings siblings) {
        this.settings = settings;
        PolicyEnvironment environment = new PolicyEnvironment(
                settings, new SplittableRandom(seed), new SplittableRandom(~seed), placements, admission, siblings);
        endpointList = new EndpointList(environment);
        listWatch = new EndpointListWatch(settings, environment.random());
        estimates = LoadEstimates.initial(settings);
        if (settings.maxAttempts() < 1) {
            throw new IllegalArgumentException("maxAttempts must be at least 1, but is " + settings.maxAttempts());
        }
        ejection = new OutlierEjection(settings);
        slowStart = new SlowStart(environment, estimates, endpointList);
        router = new RequestRouter(environment, endpointList, estimates, ejection, slowStart);
        stateTransfer = new LearnedStateTransfer(endpointList, estimates, ejection);
    }

    @Override
    public void onEndpointList(double nowMs, EndpointListKind kind, List<Endpoint> endpoints, PolicyActions actions) {
        if (kind == EndpointListKind.FAILED) {
            listWatch.failed(actions);
            return;
        }
        if (kind == EndpointListKind.CACHED) {
            listWatch.cachedListReceived(actions); // even if the list is invalid: discovery's list may be valid
        }
        slowStart.beforeListChange(nowMs, endpoints, kind != EndpointListKind.CHANGES);
        endpointList.update(nowMs, kind, endpoints); // throws for an invalid list, which is not an answer
        if (kind != EndpointListKind.CACHED) {
            listWatch.answered();
        }
        slowStart.recordList(nowMs, endpoints);
    }

    @Override
    public void onRequest(double nowMs, RoutingRequest request, PolicyActions actions) {
        if (!isIndex(request.serviceClass(), settings.classes().size())) {
            throw new IllegalArgumentException("service class " + request.serviceClass() + " is not in the settings");
        }
        // If the settings have no tenants, all requests have tenant 0.
        if (request.tenant() != 0
                && !isIndex(request.tenant(), settings.tenants().size())) {
            throw new IllegalArgumentException("tenant " + request.tenant() + " is not in the settings");
        }
        router.requestReceived(nowMs, request, actions);
    }

    private static boolean isIndex(int value, int count) {
        return value >= 0 && value < count;
    }

    /**
     * Returns whether an attempt may begin now: whether it fits the budget of a server that is in its slow start. To be
     * called right before the attempt's first byte is written, which may be long after it was placed.
     */
    public boolean mayBegin(double nowMs, int requestId, int attempt) {
        return router.mayBegin(nowMs, requestId, attempt);
    }

    /**
     * Records that the first byte of an attempt is written.
     *
     * @return false if more attempts have begun at a server in its slow start than its budget allows, which is a defect
     */
    public boolean attemptBegan(double nowMs, int requestId, int attempt) {
        return router.attemptBegan(nowMs, requestId, attempt);
    }

    /** Returns what this policy has done with each ready cache server that is in its slow start. */
    public List<SlowStartStatus> slowStarts(double nowMs) {
        List<SlowStartStatus> statuses = new ArrayList<>();
        for (int i = 0; i < endpointList.rankedCount(); i++) {
            ServerState server = endpointList.ranked(i);
            if (slowStart.isWarmingUp(nowMs, server)) {
                statuses.add(slowStart.status(nowMs, server));
            }
        }
        return statuses;
    }

    /** Returns what this policy has done with a server since its last start; null if the server is not listed. */
    public SlowStartStatus slowStart(double nowMs, int serverId) {
        ServerState server = endpointList.server(serverId);
        return server == null ? null : slowStart.status(nowMs, server);
    }

    @Override
    public void onFirstByte(double nowMs, int requestId, int attempt, int serverId, PolicyActions actions) {
        router.responseStarted(requestId);
    }

    @Override
    public void onAttemptEnd(double nowMs, AttemptResult result, PolicyActions actions) {
        router.attemptEnded(nowMs, result, actions);
    }

    @Override
    public void onClientGone(double nowMs, int requestId, PolicyActions actions) {
        router.clientLeft(nowMs, requestId, actions);
    }

    @Override
    public void onTimer(double nowMs, int token, PolicyActions actions) {
        PolicyTimer timer = PolicyTimer.of(token);
        if (timer == PolicyTimer.WATCH) {
            listWatch.timerDue(actions);
        } else {
            router.timerDue(nowMs, timer, token, actions);
        }
    }

    @Override
    public void onProbeResult(
            double nowMs,
            int serverId,
            AttemptOutcome outcome,
            double elapsedMs,
            float[] loadReport,
            PolicyActions actions) {
        ServerState server = endpointList.server(serverId);
        if (server != null) {
            ejection.recordProbe(nowMs, server, outcome);
        }
    }

    @Override
    public void onSiblingResponse(double nowMs, int requestId, int siblingId, PolicyActions actions) {
        router.siblingAnswered(nowMs, requestId, siblingId, actions);
    }

    /** Ignores the message: this policy exchanges none with other proxies. */
    @Override
    public void onPeerMessage(double nowMs, int peerId, byte[] message, PolicyActions actions) {}

    /**
     * Returns what this policy has learned, for a later process.
     *
     * @param maxKeys greatest number of hot keys
     */
    public LearnedState learnedState(double nowMs, int maxKeys) {
        return stateTransfer.export(nowMs, maxKeys);
    }

    /**
     * Restores what an earlier process has learned about the listed servers; must be called after the first list and
     * before the first request. No server is ejected for longer than this policy would eject it, the next result of a
     * server outweighs the restored state, and no server in slow start receives more requests because of that state.
     */
    public void restore(double nowMs, LearnedState learnedState) {
        stateTransfer.restore(nowMs, learnedState);
    }

    /** Returns whether a server is ready, has warmed up and is not ejected; reported to siblings. */
    public boolean isHealthy(double nowMs, int serverId) {
        ServerState server = endpointList.server(serverId);
        return server != null && server.isReady() && server.failures() == 0 && !slowStart.isWarmingUp(nowMs, server);
    }

    /**
     * Returns whether the cache servers or the origin have recently answered too few requests in time to serve siblings
     * as well.
     */
    public boolean isOverloaded(double nowMs) {
        return estimates.serverThrottle().isOverloaded(nowMs)
                || estimates.originThrottle().isOverloaded(nowMs);
    }
}
