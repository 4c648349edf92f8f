package cacheproxy.simulation;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.AttemptResult;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.PolicyActions;
import cacheproxy.policy.PolicyApi;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.RoutingRequest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One proxy: the real policy, with connections that are figures of the fleet. Killed, it does nothing more. */
final class SimulatedProxy implements PolicyActions {
    /** How long a client waits for a response before it gives up. */
    static final double CLIENT_TIMEOUT_MS = 650;

    private static final double ONE_WAY_WITHIN_ZONE_MS = 0.2;
    private static final double ONE_WAY_ACROSS_ZONES_MS = 2;
    /** Work of a request, 1 in the mean: from this on, evenly over a range of 1. */
    private static final double MIN_REQUEST_SIZE = 0.5;

    /** One attempt of a request. */
    private static final class Attempt {
        final int server;
        final double sentMs;
        boolean ended;

        Attempt(int server, double sentMs) {
            this.server = server;
            this.sentMs = sentMs;
        }
    }

    /** A request that the policy has been told of. */
    private static final class PendingRequest {
        final SimulatedRequest request;
        final List<Attempt> attempts = new ArrayList<>();
        /** The last server that lacked the key, which gets it from the origin's response; null: none. */
        SimulatedServer missedAt;
        /** How often it took effect at the origin. */
        int effects;

        boolean answered;

        PendingRequest(SimulatedRequest request) {
            this.request = request;
        }
    }

    private final FleetSimulation fleet;
    private final PolicySettings settings;
    private final PolicyApi policy;
    private final Map<Integer, PendingRequest> pendingRequests = new HashMap<>();
    /** When servers started, by their ids, according to this proxy's endpoint list. */
    private final Map<Integer, Double> listedStartMs = new HashMap<>();

    private boolean killed;

    SimulatedProxy(FleetSimulation fleet, PolicySettings settings, PolicyApi policy) {
        this.fleet = fleet;
        this.settings = settings;
        this.policy = policy;
    }

    /** Returns whether it was killed. */
    boolean isKilled() {
        return killed;
    }

    /** Ends it at once, with what it has. */
    void kill() {
        killed = true;
    }

    /** Returns how many requests it owes a response; none if it was killed. */
    int unansweredRequests() {
        if (killed) {
            return 0;
        }
        return (int) pendingRequests.values().stream()
                .filter(pending -> !pending.answered)
                .count();
    }

    /** Receives an endpoint list, or the changed entries of it. */
    void receiveEndpoints(EndpointListKind kind, Collection<SimulatedServer> servers) {
        if (killed) {
            return;
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (SimulatedServer server : servers) {
            listedStartMs.put(server.id, server.startedMs());
            endpoints.add(server.endpoint());
        }
        if (kind == EndpointListKind.CACHED) {
            endpoints.add(new Endpoint(SimulatedOrigin.ID, 0, 1, 0, EndpointState.READY, 1, 0));
        }
        fire(() -> policy.onEndpointList(nowMs(), kind, endpoints, this));
    }

    /** Receives a client's request under a new id. */
    void receiveRequest(int id, SimulatedRequest request) {
        PendingRequest pending = new PendingRequest(request);
        pendingRequests.put(id, pending);
        fleet.clock()
                .after(
                        CLIENT_TIMEOUT_MS,
                        () -> { // the connections' own end of what is in flight
                            for (int i = 0; i < pending.attempts.size(); i++) {
                                endAttempt(id, i, AttemptOutcome.TIMEOUT);
                            }
                        });
        fleet.clock().after(CLIENT_TIMEOUT_MS + 1, () -> {
            if (pending.answered) {
                pendingRequests.remove(id);
            }
        });
        RoutingRequest routingRequest = new RoutingRequest(
                id,
                request.write() ? FleetSimulationConfig.WRITE : FleetSimulationConfig.READ,
                0,
                request.key(),
                nowMs() + CLIENT_TIMEOUT_MS,
                Double.NaN,
                0,
                request.write(),
                request.retries() > 0);
        fire(() -> policy.onRequest(nowMs(), routingRequest, this));
    }

    @Override
    public void sendAttempt(int requestId, int serverId, double timeoutMs) {
        PendingRequest pending = pendingRequests.get(requestId);
        int attempt = pending.attempts.size();
        boolean hedged = pending.attempts.stream().anyMatch(earlier -> !earlier.ended);
        pending.attempts.add(new Attempt(serverId, nowMs()));
        SimulatedServer server = fleet.server(serverId);
        boolean withinZone = settings.zone() == (server == null ? 0 : server.zone);
        fleet.metrics().recordAttempt(withinZone, hedged);
        double oneWayMs = withinZone ? ONE_WAY_WITHIN_ZONE_MS : ONE_WAY_ACROSS_ZONES_MS;
        if (timeoutMs > 0) {
            endAttemptAfter(timeoutMs, requestId, attempt, AttemptOutcome.TIMEOUT);
        }
        fleet.clock().after(oneWayMs, () -> {
            if (server == null) {
                arriveAtOrigin(requestId, attempt, pending, oneWayMs);
            } else {
                arriveAtServer(requestId, attempt, pending, server, oneWayMs);
            }
        });
    }

    private void arriveAtServer(
            int requestId, int attempt, PendingRequest pending, SimulatedServer server, double oneWayMs) {
        double size = MIN_REQUEST_SIZE + fleet.random().nextDouble();
        if (server.isWarmingUp(nowMs())) {
            server.recordColdAttempt(nowMs(), size, listedStartMs.get(server.id) == server.startedMs());
        }
        if (server.ended || server.isolated) {
            fleet.metrics().recordUnreachableAttempt();
            double delayMs = server.isolated ? settings.connectTimeoutMs() : oneWayMs;
            endAttemptAfter(delayMs, requestId, attempt, AttemptOutcome.CONNECT_FAILED);
            return;
        }
        SimulatedServer.Admission admission = server.admit(nowMs(), pending.request.key(), size);
        if (admission == null) {
            fleet.metrics().recordRejectedAttempt();
            endAttemptAfter(oneWayMs, requestId, attempt, AttemptOutcome.FULL);
            return;
        }
        if (!admission.hit()) {
            pending.missedAt = server;
        }
        AttemptOutcome outcome = admission.hit() ? AttemptOutcome.OK : AttemptOutcome.MISS;
        endAttemptAfter(admission.doneMs() - nowMs() + oneWayMs, requestId, attempt, outcome);
    }

    private void arriveAtOrigin(int requestId, int attempt, PendingRequest pending, double oneWayMs) {
        double doneMs = fleet.sendToOrigin(pending.request.write());
        if (Double.isNaN(doneMs)) {
            endAttemptAfter(oneWayMs, requestId, attempt, AttemptOutcome.FULL);
            return;
        }
        if (pending.request.write()) {
            fleet.metrics().recordWriteEffects(++pending.effects);
        }
        fleet.clock().after(doneMs - nowMs(), () -> {
            if (pending.missedAt != null) {
                pending.missedAt.cache(pending.request.key());
            }
            endAttemptAfter(oneWayMs, requestId, attempt, AttemptOutcome.OK);
        });
    }

    private void endAttemptAfter(double delayMs, int requestId, int attempt, AttemptOutcome outcome) {
        fleet.clock().after(delayMs, () -> endAttempt(requestId, attempt, outcome));
    }

    private void endAttempt(int requestId, int attemptIndex, AttemptOutcome outcome) {
        PendingRequest pending = pendingRequests.get(requestId);
        if (killed || pending == null || pending.attempts.get(attemptIndex).ended) {
            return;
        }
        Attempt attempt = pending.attempts.get(attemptIndex);
        attempt.ended = true;
        if (outcome == AttemptOutcome.OK && !pending.answered) {
            pending.answered = true;
            fleet.metrics().recordServed();
        }
        AttemptResult result = new AttemptResult(
                requestId, attemptIndex, attempt.server, outcome, nowMs() - attempt.sentMs, pending.answered, 0, null);
        fire(() -> policy.onAttemptEnd(nowMs(), result, this));
    }

    @Override
    public void reject(int requestId, double retryAfterMs) {
        concludeUnserved(requestId, true);
    }

    @Override
    public void fail(int requestId) {
        concludeUnserved(requestId, false);
    }

    /** Concludes a request; the client retries it unless it may have had an effect that must not come twice. */
    private void concludeUnserved(int requestId, boolean withoutEffect) {
        PendingRequest pending = pendingRequests.get(requestId);
        if (pending == null || pending.answered) {
            return;
        }
        pending.answered = true;
        if (withoutEffect || !pending.request.write()) {
            fleet.retry(pending.request);
        }
    }

    @Override
    public void cancelAttempt(int requestId, int attempt) {
        endAttemptAfter(0, requestId, attempt, AttemptOutcome.CANCELLED);
    }

    @Override
    public void setTimer(double afterMs, int token) {
        fleet.clock().after(afterMs, () -> {
            if (!killed) {
                fire(() -> policy.onTimer(nowMs(), token, this));
            }
        });
    }

    /** Health checks are off in this simulation, see {@link FleetSimulationConfig#settings}. */
    @Override
    public void probeServer(int server) {}

    /** Connections are not simulated. */
    @Override
    public void closeIdleConnections(int server) {}

    /** Proxies don't talk to one another in this simulation. */
    @Override
    public void sendToPeer(int peer, byte[] message) {}

    /** Endpoint lists are pushed. */
    @Override
    public void watchEndpointList(boolean enabled) {}

    /** Endpoint lists are pushed. */
    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String line) {}

    private double nowMs() {
        return fleet.clock().nowMs();
    }

    private void fire(Runnable event) {
        fleet.metrics().recordEvent();
        event.run();
    }
}
