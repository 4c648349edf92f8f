package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import java.util.ArrayList;
import java.util.List;

/**
 * Exports the learned state of a policy and restores it in the policy of a later process. It does not include the
 * origin's health.
 */
final class LearnedStateTransfer {
    private final EndpointList endpoints;
    private final LoadEstimates estimates;
    private final OutlierEjection ejection;

    LearnedStateTransfer(EndpointList endpoints, LoadEstimates estimates, OutlierEjection ejection) {
        this.endpoints = endpoints;
        this.estimates = estimates;
        this.ejection = ejection;
    }

    /** Returns the learned state; the remaining times of ejections are counted from {@code nowMs}. */
    LearnedState export(double nowMs, int maxKeys) {
        List<LearnedServer> learnedServers = new ArrayList<>();
        for (ServerState server : endpoints.servers()) {
            if (!endpoints.isOrigin(server) && hasFailed(server)) {
                learnedServers.add(learned(nowMs, server));
            }
        }
        return new LearnedState(
                learnedServers,
                estimates.latencies().learned(),
                estimates.originThrottle().learned(nowMs),
                estimates.serverThrottle().learned(nowMs),
                estimates.hotKeys().learned(maxKeys));
    }

    private static LearnedServer learned(double nowMs, ServerState server) {
        return new LearnedServer(
                server.id(),
                server.endpoint().startedMs(),
                server.failures(),
                Math.max(0, server.ejectedUntilMs() - nowMs),
                server.overdueAttempts());
    }

    private static boolean hasFailed(ServerState server) {
        return server.failures() + server.overdueAttempts() > 0;
    }

    /**
     * Restores learned state; servers that are not listed, have restarted or have failed in this process are left
     * unchanged.
     */
    void restore(double nowMs, LearnedState learnedState) {
        for (LearnedServer learned : learnedState.servers()) {
            ServerState server = endpoints.server(learned.id());
            if (server != null
                    && !endpoints.isOrigin(server)
                    && server.endpoint().startedMs() == learned.startMs()
                    && !hasFailed(server)) {
                ejection.restore(nowMs, server, learned);
            }
        }
        estimates.restore(nowMs, learnedState);
    }
}
