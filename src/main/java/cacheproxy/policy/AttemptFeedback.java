package cacheproxy.policy;

import cacheproxy.siblings.Siblings;

/** Updates estimates, ejections and budgets from the results of attempts. */
final class AttemptFeedback {
    private final Siblings siblings;
    private final EndpointList endpoints;
    private final LoadEstimates estimates;
    private final OutlierEjection ejection;
    private final HedgingPolicy hedging;

    AttemptFeedback(
            Siblings siblings,
            EndpointList endpoints,
            LoadEstimates estimates,
            OutlierEjection ejection,
            HedgingPolicy hedging) {
        this.siblings = siblings;
        this.endpoints = endpoints;
        this.estimates = estimates;
        this.ejection = ejection;
        this.hedging = hedging;
    }

    /** Records the result of an attempt. */
    void record(double nowMs, PendingRequest pending, ServerState server, AttemptResult result) {
        if (endpoints.isSibling(server)) {
            siblings.recordFetch(nowMs, server.id(), result.outcome(), result.elapsedMs());
            return;
        }
        server.markObserved();
        if (pending.isHedged() && result.attempt() > 0 && result.outcome() == AttemptOutcome.OK) {
            hedging.refund();
        }
        switch (result.outcome()) {
            case OK, MISS, FULL -> recordResponse(nowMs, pending, server, result);
            case CONNECT_FAILED, RESET, TIMEOUT -> recordFailure(nowMs, server, result.outcome());
            default -> server.endProbe();
        }
    }

    private void recordResponse(double nowMs, PendingRequest pending, ServerState server, AttemptResult result) {
        boolean isOrigin = endpoints.isOrigin(server);
        AdaptiveThrottle serverThrottle = estimates.serverThrottle();
        if (!isOrigin && result.outcome() == AttemptOutcome.FULL && result.attempt() > 0) {
            serverThrottle.recordSent(nowMs);
        }
        // Under overload, a late response does not indicate a fault of its server.
        boolean clearsFailures = result.elapsedMs() <= pending.serviceClass().latencyObjectiveMs()
                || serverThrottle.isOverloaded(nowMs)
                || isOrigin;
        if (clearsFailures) {
            server.clearFailures();
        }
        server.endProbe();
        if (result.outcome() == AttemptOutcome.OK) {
            if (isOrigin) {
                recordOriginSuccess(nowMs, pending, result.elapsedMs());
            } else {
                server.answerRate().record(nowMs);
                recordServerSuccess(nowMs, pending, result.elapsedMs());
            }
        }
    }

    private void recordServerSuccess(double nowMs, PendingRequest pending, double elapsedMs) {
        LatencyEstimates latencies = estimates.latencies();
        estimates.serverThrottle().recordSent(nowMs);
        if (elapsedMs <= pending.serviceClass().latencyObjectiveMs() - latencies.originMs()) {
            estimates.serverThrottle().recordAnswered(nowMs);
        }
        latencies.recordServer(pending.request(), elapsedMs);
        hedging.recordSuccess();
    }

    private void recordOriginSuccess(double nowMs, PendingRequest pending, double elapsedMs) {
        if (nowMs <= pending.objectiveAtMs()) {
            estimates.originThrottle().recordAnswered(nowMs);
        }
        estimates.latencies().recordOrigin(elapsedMs);
    }

    /**
     * Records a failed attempt. A single connection reset does not eject a healthy server; the origin is never ejected.
     */
    private void recordFailure(double nowMs, ServerState server, AttemptOutcome outcome) {
        if (endpoints.isOrigin(server)) {
            return;
        }
        int maxFailures = estimates.serverThrottle().isOverloaded(nowMs) ? 1 : 0;
        if (outcome == AttemptOutcome.TIMEOUT && server.failures() <= maxFailures) {
            estimates.serverThrottle().recordSent(nowMs);
        }
        if (outcome != AttemptOutcome.RESET || server.failures() > 0 || server.countOverdueAttempt() > 1) {
            ejection.eject(nowMs, server);
        }
    }
}
