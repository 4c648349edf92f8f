package cacheproxy.policy;

import cacheproxy.placement.AdmissionControl;

/** Sends attempts and starts the timers of requests. */
final class AttemptSender {
    private static final double MIN_TIMEOUT_MS = 1;

    private final AdmissionControl admission;
    private final EndpointList endpoints;
    private final HedgingPolicy hedging;

    AttemptSender(AdmissionControl admission, EndpointList endpoints, HedgingPolicy hedging) {
        this.admission = admission;
        this.endpoints = endpoints;
        this.hedging = hedging;
    }

    /**
     * Sends a request's next attempt. If a late response has no value, an attempt at a cache server times out at the
     * latency objective. Starts the hedging timer if the attempt may be hedged.
     */
    void send(double nowMs, PendingRequest pending, ServerState server, PolicyActions actions) {
        int attempt = pending.startAttempt(nowMs, server);
        if (attempt == 0) {
            admission.recordFirstAttempt(nowMs);
        }
        boolean isOrigin = endpoints.isOrigin(server);
        boolean timesOutAtObjective = !isOrigin && pending.serviceClass().isWorthlessWhenLate();
        double timeoutMs = timesOutAtObjective ? Math.max(MIN_TIMEOUT_MS, pending.objectiveAtMs() - nowMs) : 0;
        actions.sendAttempt(pending.id(), server.id(), timeoutMs);
        if (!isOrigin && hedging.appliesTo(pending)) {
            double delayMs = hedging.delayMs(nowMs, pending);
            pending.setHedgeAtMs(nowMs + delayMs);
            startTimer(PolicyTimer.HEDGING, delayMs, pending, actions);
        }
    }

    /** Starts the deadline timer of a new request. */
    void startDeadlineTimer(double nowMs, PendingRequest pending, PolicyActions actions) {
        startTimer(PolicyTimer.DEADLINE, Math.max(0, pending.request().deadlineMs() - nowMs), pending, actions);
    }

    /** Makes a request wait for {@code delayMs} milliseconds, unless another event resumes it earlier. */
    void waitAndRetry(double delayMs, PendingRequest pending, PolicyActions actions) {
        pending.setWaiting(true);
        startTimer(PolicyTimer.RETRY, delayMs, pending, actions);
    }

    private static void startTimer(PolicyTimer timer, double delayMs, PendingRequest pending, PolicyActions actions) {
        actions.setTimer(delayMs, timer.token(pending));
    }
}
