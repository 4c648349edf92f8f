package cacheproxy.policy;

import cacheproxy.placement.AdmissionControl;

/**
 * Routes each request from its arrival to its final response. After every event it decides on the next step: an attempt
 * at a cache server, a sibling or the origin, waiting, or concluding the request.
 *
 * <p>Events of a request that has ended are ignored, because events can arrive late.
 */
final class RequestRouter {
    private final PolicySettings settings;
    private final PolicyEnvironment environment;
    private final AdmissionControl admission;
    private final LoadEstimates estimates;
    private final EndpointList endpoints;
    private final OutlierEjection ejection;
    private final SlowStart slowStart;
    private final PendingRequestTable requests;
    private final ServerSelector selector;
    private final RetryRules retryRules;
    private final HedgingPolicy hedging;
    private final LoadShedder shedder;
    private final FetchCoalescer coalescer = new FetchCoalescer();
    private final FetchWaiters waiters;
    private final AttemptSender sender;
    private final OriginFetchPolicy originFetches;
    private final RequestConclusion conclusion;
    private final AttemptFeedback feedback;

    RequestRouter(
            PolicyEnvironment environment,
            EndpointList endpoints,
            LoadEstimates estimates,
            OutlierEjection ejection,
            SlowStart slowStart) {
        this.environment = environment;
        this.endpoints = endpoints;
        this.estimates = estimates;
        this.ejection = ejection;
        this.slowStart = slowStart;
        settings = environment.settings();
        admission = environment.admission();
        requests = new PendingRequestTable(settings);
        selector = new ServerSelector(environment, endpoints, ejection, slowStart);
        retryRules = new RetryRules(settings);
        hedging = new HedgingPolicy(settings, estimates.latencies());
        shedder = new LoadShedder(settings, environment.random());
        sender = new AttemptSender(admission, endpoints, hedging);
        waiters = new FetchWaiters(coalescer, endpoints, sender, this::advance);
        originFetches = new OriginFetchPolicy(environment.siblings(), estimates, coalescer, shedder, sender);
        conclusion = new RequestConclusion(settings, environment.random(), estimates.latencies(), requests);
        feedback = new AttemptFeedback(environment.siblings(), endpoints, estimates, ejection, hedging);
    }

    /** Routes a new request, whose service class and tenant must be in the settings. */
    void requestReceived(double nowMs, RoutingRequest request, PolicyActions actions) {
        estimates.latencies().recordCost(request);
        shedder.recordRequest(nowMs, request);
        ejection.recordRequest();
        PendingRequest pending = requests.add(nowMs, request);
        sender.startDeadlineTimer(nowMs, pending, actions);
        pending.setOriginOnly(settings.cacheAside() && request.write());
        if (!pending.isOriginOnly() && request.key() != 0) {
            HotKeyTracker hotKeys = estimates.hotKeys();
            int recent = hotKeys.record(request.key(), nowMs);
            int maxSpread = endpoints.placement().maxHotKeySpread();
            pending.setKeyPopularity(recent, hotKeys.spread(request.key(), recent, maxSpread));
        }
        advance(nowMs, pending, actions);
    }

    /**
     * Records that an attempt's response has begun to reach the client, so that no other attempt can serve the request.
     */
    void responseStarted(int requestId) {
        PendingRequest pending = requests.byId(requestId);
        if (pending != null) {
            pending.markStreaming();
        }
    }

    /** Returns whether an attempt may begin now; true for one that is not known, whose end will be ignored. */
    boolean mayBegin(double nowMs, int requestId, int attempt) {
        PendingRequest pending = requests.byId(requestId);
        return pending == null
                || attempt >= pending.attempts()
                || slowStart.mayBegin(nowMs, pending, pending.sentAttempt(attempt));
    }

    /** Records that an attempt begins; returns false if its server's slow-start budget does not allow it. */
    boolean attemptBegan(double nowMs, int requestId, int attempt) {
        PendingRequest pending = requests.byId(requestId);
        return pending == null
                || attempt >= pending.attempts()
                || slowStart.attemptBegan(nowMs, pending.sentAttempt(attempt));
    }

    /** Handles the end of an attempt. It is ignored if it was already reported or the attempt was never sent. */
    void attemptEnded(double nowMs, AttemptResult result, PolicyActions actions) {
        PendingRequest pending = requests.byId(result.requestId());
        int attempt = result.attempt();
        if (pending == null || attempt >= pending.attempts() || pending.hasEnded(attempt)) {
            return;
        }
        ServerState server = pending.server(attempt);
        pending.endAttempt(attempt);
        slowStart.attemptEnded(nowMs, pending.sentAttempt(attempt), result.outcome());
        feedback.record(nowMs, pending, server, result);
        if (result.outcome().mayHaveRun()) {
            pending.markMayHaveRun(attempt);
        }
        boolean wasConcluded = pending.isConcluded();
        if (result.answered() || wasConcluded) {
            requests.finish(pending);
        }
        if (pending.isLeading()) {
            waiters.fetchEnded(nowMs, pending, server, result.outcome() == AttemptOutcome.OK, actions);
        }
        waiters.release(nowMs, pending, actions);
        if (!wasConcluded && result.answered()) {
            conclusion.cancelInFlight(pending, actions);
        } else if (!pending.isConcluded()) {
            retry(nowMs, pending, server, result, actions);
        }
    }

    /**
     * Handles the answer to a sibling query: the id of the first sibling that has the request's key, or 0 if none of
     * the queried siblings has it. Late answers are ignored.
     */
    void siblingAnswered(double nowMs, int requestId, int siblingId, PolicyActions actions) {
        PendingRequest pending = requests.byId(requestId);
        if (pending == null
                || pending.isConcluded()
                || !pending.isWaiting()
                || pending.isFetching()
                || !coalescer.isLeader(pending)) {
            return;
        }
        ServerState server = endpoints.server(siblingId);
        if (server != null && endpoints.isSibling(server) && server.isReady()) {
            pending.setWaiting(false);
            sender.send(nowMs, pending, server, actions);
        } else {
            advance(nowMs, pending, actions);
        }
    }

    /** Handles the disconnect of a client. */
    void clientLeft(double nowMs, int requestId, PolicyActions actions) {
        PendingRequest pending = requests.byId(requestId);
        if (pending != null && !pending.isConcluded()) {
            abandon(nowMs, pending, actions);
        }
    }

    /** Handles a timer of a request; ignored if the request has ended. */
    void timerDue(double nowMs, PolicyTimer timer, int token, PolicyActions actions) {
        PendingRequest pending = requests.byToken(token);
        if (pending == null) {
            return;
        }
        switch (timer) {
            case DEADLINE -> deadlineReached(nowMs, pending, actions);
            case HEDGING -> hedgingDelayElapsed(nowMs, pending, actions);
            case RETRY -> {
                if (pending.isWaiting()) {
                    advance(nowMs, pending, actions);
                }
            }
            default -> throw new IllegalArgumentException(timer + " is not a timer of a request");
        }
    }

    private void deadlineReached(double nowMs, PendingRequest pending, PolicyActions actions) {
        if (!pending.isConcluded() && !pending.isStreaming()) {
            conclusion.rejectOrFail(pending, actions);
            abandon(nowMs, pending, actions);
        }
    }

    /**
     * Ends a request whose client no longer waits. Its attempt continues if other requests wait for the object that it
     * fetches.
     */
    private void abandon(double nowMs, PendingRequest pending, PolicyActions actions) {
        requests.finish(pending);
        if (pending.isStreaming()) {
            return;
        }
        if (!pending.hasWaiters()) {
            conclusion.cancelInFlight(pending, actions);
        }
        waiters.release(nowMs, pending, actions);
    }

    /**
     * Ejects the server of an overdue attempt and hedges the request. The timer of an earlier attempt is ignored,
     * because it says nothing about the latest one.
     */
    private void hedgingDelayElapsed(double nowMs, PendingRequest pending, PolicyActions actions) {
        int attempt = pending.attempts() - 1;
        ServerState server = pending.server(attempt);
        if (pending.isConcluded()
                || pending.isStreaming()
                || pending.hasEnded(attempt)
                || endpoints.isOrigin(server)
                || nowMs < pending.hedgeAtMs()) {
            return;
        }
        if (!endpoints.isSibling(server)
                && (hedging.ejectsOnFirstOverdueAttempt() || server.countOverdueAttempt() > 1)) {
            ejection.eject(nowMs, server);
        }
        if (!hedging.tryAcquire(nowMs, pending)) {
            return;
        }
        pending.markHedged();
        if (hedging.keepsOverdueAttempt()) {
            advance(nowMs, pending, actions);
        } else {
            actions.cancelAttempt(pending.id(), attempt);
        }
    }

    /** Decides on the next step after an attempt that ended without a final response. */
    private void retry(
            double nowMs, PendingRequest pending, ServerState server, AttemptResult result, PolicyActions actions) {
        boolean isOrigin = endpoints.isOrigin(server);
        boolean isMiss = result.outcome() == AttemptOutcome.MISS && !endpoints.isSibling(server);
        if (isMiss) {
            pending.recordMiss(server);
        }
        if (isMiss && RetryRules.mayReadAfterPendingFetch(pending, result)) {
            pending.setOriginOnly(false);
            sender.waitAndRetry(estimates.latencies().originMs(), pending, actions);
        } else if (isOrigin && RetryRules.mayRepeatRejectedWrite(pending, result)) {
            double jitter = 0.5 + environment.random().nextDouble();
            sender.waitAndRetry(estimates.latencies().originMs() * jitter, pending, actions);
        } else if (isOrigin && !pending.request().write()) {
            conclusion.giveUp(pending, actions);
        } else if (pending.inFlightAttempts() == 0
                || (pending.serviceClass().isIdempotent() && settings.hedgingAllowed())) {
            advance(nowMs, pending, actions);
        }
    }

    /** Sends a request's next attempt, makes the request wait, or gives it up. */
    private void advance(double nowMs, PendingRequest pending, PolicyActions actions) {
        pending.setWaiting(false);
        if (pending.isConcluded() || pending.isStreaming()) {
            return;
        }
        ServerState server = selector.selectNext(nowMs, pending, actions);
        advanceTo(server, nowMs, pending, actions);
        slowStart.releaseUnsent(pending);
    }

    private void advanceTo(ServerState server, double nowMs, PendingRequest pending, PolicyActions actions) {
        if (server == null || !retryRules.maySend(nowMs, pending, server)) {
            giveUp(nowMs, pending, actions);
            return;
        }
        boolean isOrigin = endpoints.isOrigin(server);
        // A fetch from the origin after a miss is not a retry; any other further attempt is additional load.
        boolean isRetry = pending.attempts() > 0 && !(isOrigin && pending.missedServer() != null);
        if (isRetry && !admission.admitRetry(nowMs)) {
            conclusion.giveUp(pending, actions);
        } else if (isOrigin) {
            fetch(nowMs, pending, server, actions);
        } else if (LoadShedder.mayReject(pending)
                && shedder.shouldReject(pending, estimates.serverThrottle().excess(nowMs))) {
            server.endProbe(); // a probe that is not sent gets no result, and its server would stay ejected
            conclusion.giveUp(pending, actions);
        } else {
            sender.send(nowMs, pending, server, actions);
        }
    }

    private void fetch(double nowMs, PendingRequest pending, ServerState origin, PolicyActions actions) {
        switch (originFetches.decide(nowMs, pending, actions)) {
            case SEND -> sender.send(nowMs, pending, origin, actions);
            case GIVE_UP -> giveUp(nowMs, pending, actions);
            default -> {} // the request waits
        }
    }

    private void giveUp(double nowMs, PendingRequest pending, PolicyActions actions) {
        conclusion.giveUp(pending, actions);
        waiters.release(nowMs, pending, actions);
    }
}
