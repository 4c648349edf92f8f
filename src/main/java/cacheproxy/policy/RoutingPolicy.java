package cacheproxy.policy;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.CarpPlacement;
import cacheproxy.placement.Placement;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.placement.StartTimes;
import cacheproxy.siblings.Siblings;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The decisions of one balancer instance. Types, events and actions: PolicyApi.java; hashes and ranking: Carp.java.
 * CARP's top score takes each request; what departs from it says at its place when it acts and what it guards.
 */
public final class RoutingPolicy implements PolicyApi {
    private static final int REQUEST_NUMBER_MASK = (1 << 30) - 1;
    private static final int DEADLINE_TIMER = 0, HEDGING_TIMER = 1, RETRY_TIMER = 2, WATCH_TIMER = 3;
    private static final int MAX_CACHE_ATTEMPTS = 2;
    private static final double HEDGE_RATIO = 0.05;
    private static final double MAX_HEDGE_TOKENS = 5;
    /**
     * In a crowd a cold server takes less than it could, by this at most: kept empty, it leaves the crowd to the
     * others. Half the fleet gone and all tried three times at load 0.68 is 4.1 times, by this 2.7.
     */
    private static final double MAX_OVERLOAD_FACTOR = 1.5;
    /** Of a key's fair part: what a cold server may get at its first sight, and at each one after that. */
    private static final double FIRST_REQUEST_FAIR_SHARES = 3, LATER_REQUEST_FAIR_SHARES = 0.5;

    private static final int RANKED_CANDIDATES = 8;
    private static final int EJECTION_CONNECT_TIMEOUTS = 10;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private final Map<Integer, ServerState> servers = new HashMap<>();
    private final Map<Integer, PendingRequest> pendingById = new HashMap<>();
    /** Requests in hand by the number in their timers: a timer outlives its request, and must not keep it. */
    private final Map<Integer, PendingRequest> pendingByNumber = new HashMap<>();

    private final Map<Long, PendingRequest> fetchLeaders = new HashMap<>();
    private final HotKeyTracker hotKeys = new HotKeyTracker();
    private final AdaptiveThrottle originThrottle = new AdaptiveThrottle();
    private final AdaptiveThrottle serverThrottle = new AdaptiveThrottle();
    private final TenantShares tenantShares;
    private ServerState[] rankedServers = new ServerState[0];
    private final PlacementFactory placements;
    private final AdmissionControl admission;
    private final StartTimes startTimes = new StartTimes();
    private boolean listReceived;
    private final Siblings siblings;
    private Placement placement;
    private int[] candidates = new int[RANKED_CANDIDATES];
    private ServerState origin;
    private double originLatencyMs;
    private double averageCost;
    private double averageLatencyMs;
    private double latencyDeviationMs;
    private double hedgeTokens = MAX_HEDGE_TOKENS;
    private double probeTokens = 1;
    private int lastRequestNumber;
    private boolean watchRequested;
    private int watchFailures;

    /** The work hinted at, in units of the usual; 1 where there is no hint. */
    private double relativeCost(RoutingRequest request) {
        return request.costHintMs() > 0 && averageCost > 0 ? request.costHintMs() / averageCost : 1;
    }

    /** Whether to refuse this one where a part of all must be refused. */
    private boolean shouldReject(PendingRequest pending, double excess) {
        if (excess <= 0) {
            return false;
        }
        return random.nextDouble()
                < (tenantShares == null
                        ? excess
                        : tenantShares.rejectionProbability(pending.request().tenant(), excess));
    }

    /** A fresh instance that knows nothing yet. */
    public RoutingPolicy(PolicySettings settings, long seed) {
        this(settings, seed, CarpPlacement::new, AdmissionControl.UNLIMITED, Siblings.NONE);
    }

    /** One that ranks servers by this placement, keeps to these further bounds and may ask these siblings. */
    public RoutingPolicy(
            PolicySettings settings,
            long seed,
            PlacementFactory placements,
            AdmissionControl admission,
            Siblings siblings) {
        this.settings = settings;
        this.placements = placements;
        this.admission = admission;
        this.siblings = siblings;
        placement = placements.create(List.of());
        random = new SplittableRandom(seed);
        tenantShares =
                settings.overQuotaValueFraction() < 1 && settings.tenants().size() > 1
                        ? new TenantShares(settings.tenants())
                        : null;
        double shortestAim = settings.classes().stream()
                .mapToDouble(ServiceClass::latencyObjectiveMs)
                .min()
                .orElseThrow(() -> new IllegalArgumentException("settings name no class"));
        originLatencyMs = shortestAim / 4;
        averageLatencyMs = shortestAim / 8;
        latencyDeviationMs = averageLatencyMs;
        if (settings.maxAttempts() < 1) {
            throw new IllegalArgumentException("max attempts " + settings.maxAttempts());
        }
    }

    // ---- the list

    @Override
    public void onEndpointList(double nowMs, EndpointListKind kind, List<Endpoint> endpoints, PolicyActions actions) {
        if (kind == EndpointListKind.FAILED) {
            watchRequested = false;
            scheduleWatchRetry(actions);
            return;
        }
        if (kind == EndpointListKind.CACHED && settings.pollsDiscovery()) {
            // The list service is small: all instances starting together must not call at once.
            double span =
                    Math.min(settings.maxPollAgeMs() / 2, settings.instanceCount() * settings.connectTimeoutMs() / 2);
            startTimer(random.nextDouble() * span, WATCH_TIMER, null, actions);
        } else if (watchRequested) {
            watchRequested = false;
            watchFailures = 0;
        }
        validate(endpoints);
        if (kind != EndpointListKind.CHANGES) {
            Set<Integer> listedIds = new HashSet<>();
            endpoints.forEach(endpoint -> listedIds.add(endpoint.id()));
            servers.values().removeIf(server -> !listedIds.contains(server.id()));
        }
        startTimes.recordList(nowMs, endpoints);
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.GONE) {
                servers.remove(endpoint.id());
                continue;
            }
            ServerState server = servers.computeIfAbsent(endpoint.id(), ServerState::new);
            server.update(nowMs, endpoint, !listReceived);
        }
        listReceived |= !servers.isEmpty();
        rebuildPlacement();
    }

    /** What this instance has learned, with at most so many hot keys. Spans count from now. */
    public LearnedState learnedState(double nowMs, int maxKeys) {
        List<LearnedServer> learnedServers = new ArrayList<>();
        for (ServerState server : servers.values()) {
            if (server != origin && server.failures() + server.overdueAttempts() > 0) {
                double ejectedForMs = Math.max(0, server.ejectedUntilMs() - nowMs);
                learnedServers.add(new LearnedServer(
                        server.id(),
                        server.endpoint().startedMs(),
                        server.failures(),
                        ejectedForMs,
                        server.overdueAttempts()));
            }
        }
        return new LearnedState(
                learnedServers,
                new LearnedLatency(originLatencyMs, averageCost, averageLatencyMs, latencyDeviationMs, 1),
                originThrottle.learned(nowMs),
                serverThrottle.learned(nowMs),
                hotKeys.learned(maxKeys));
    }

    /**
     * Takes in what an earlier instance learned of the servers on the list. After the list, before requests. It is
     * advice: no server is left out for longer than this instance would leave it out itself, the next answer overrules
     * what is remembered, and no cold server is sent more for it.
     */
    public void restore(double nowMs, LearnedState learnedState) {
        for (LearnedServer learned : learnedState.servers()) {
            ServerState server = servers.get(learned.id());
            if (server == null
                    || server == origin
                    || server.endpoint().startedMs() != learned.startMs()
                    || server.failures() + server.overdueAttempts() > 0) {
                continue;
            }
            server.restore(learned, nowMs + Math.min(learned.ejectedForMs(), ejectionMs(learned.failures() - 1)));
        }
        LearnedLatency latency = learnedState.latency();
        originLatencyMs += (latency.originMs() - originLatencyMs) * latency.weight();
        averageLatencyMs += (latency.averageMs() - averageLatencyMs) * latency.weight();
        latencyDeviationMs += (latency.deviationMs() - latencyDeviationMs) * latency.weight();
        averageCost = averageCost > 0 || latency.weight() == 0 ? averageCost : latency.averageCost();
        originThrottle.restore(nowMs, learnedState.originLoad());
        serverThrottle.restore(nowMs, learnedState.serverLoad());
        hotKeys.restore(learnedState.hotKeys(), nowMs);
    }

    private void validate(List<Endpoint> endpoints) {
        Set<Integer> ids = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            String id = Integer.toUnsignedString(endpoint.id());
            if (!ids.add(endpoint.id())) {
                throw new IllegalArgumentException("member " + id + " is listed twice");
            }
            if (!(endpoint.weight() >= 0) || Float.isInfinite(endpoint.weight())) {
                throw new IllegalArgumentException("member " + id + " has weight " + endpoint.weight());
            }
            if (endpoint.zone() < 0
                    || endpoint.zone() >= settings.zoneCount()
                    || endpoint.kind() < 0
                    || endpoint.kind() >= settings.kindCount()) {
                throw new IllegalArgumentException(
                        "member " + id + ": zone " + endpoint.zone() + ", kind " + endpoint.kind());
            }
        }
    }

    private void rebuildPlacement() {
        origin = null;
        List<ServerState> ranked = new ArrayList<>();
        for (ServerState server : servers.values()) {
            if (server.endpoint().state() != EndpointState.READY || siblings.is(server.endpoint())) {
                continue;
            }
            if (settings.cacheAside() && server.endpoint().kind() == settings.originKind()) {
                origin = server;
            } else {
                ranked.add(server);
            }
        }
        ranked.sort((left, right) -> Integer.compareUnsigned(left.id(), right.id()));
        rankedServers = ranked.toArray(new ServerState[0]);
        float[] weights = new float[rankedServers.length];
        double sum = 0;
        for (int i = 0; i < rankedServers.length; i++) {
            weights[i] = rankedServers[i].endpoint().weight();
            sum += weights[i];
        }
        placement = placements.create(
                ranked.stream().map(server -> server.endpoint()).toList());
        for (int i = 0; i < rankedServers.length; i++) {
            rankedServers[i].setWeightFraction(sum > 0 ? weights[i] / sum : 1.0 / rankedServers.length);
        }
    }

    private void scheduleWatchRetry(PolicyActions actions) {
        watchFailures++;
        double waitMs = settings.maxPollAgeMs() / 16 * (1 << Math.min(watchFailures, 3));
        startTimer(waitMs * (0.5 + random.nextDouble() / 2), WATCH_TIMER, null, actions);
    }

    // ---- requests

    @Override
    public void onRequest(double nowMs, RoutingRequest request, PolicyActions actions) {
        if (request.serviceClass() < 0
                || request.serviceClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("class " + request.serviceClass() + " is not in the settings");
        }
        if (request.tenant() < 0
                || (request.tenant() > 0
                        && request.tenant() >= settings.tenants().size())) {
            throw new IllegalArgumentException("tenant " + request.tenant() + " is not in the settings");
        }
        if (request.costHintMs() > 0) {
            averageCost += (request.costHintMs() - averageCost) / (averageCost > 0 ? 32 : 1);
        }
        if (tenantShares != null) {
            tenantShares.recordRequest(nowMs, request.tenant());
        }
        probeTokens = Math.min(1, probeTokens + HEDGE_RATIO);
        PendingRequest pending = new PendingRequest(
                nowMs,
                request,
                settings.classes().get(request.serviceClass()),
                ++lastRequestNumber & REQUEST_NUMBER_MASK,
                settings.maxAttempts());
        pendingById.put(request.id(), pending);
        pendingByNumber.put(pending.number(), pending);
        startTimer(Math.max(0, request.deadlineMs() - nowMs), DEADLINE_TIMER, pending, actions);
        pending.setOriginOnly(settings.cacheAside() && request.write());
        if (!pending.isOriginOnly() && request.key() != 0) {
            int recentRequests = hotKeys.record(request.key(), nowMs);
            pending.setKeyHeat(
                    recentRequests, hotKeys.spread(request.key(), recentRequests, placement.maxHotKeySpread()));
        }
        advance(nowMs, pending, actions);
    }

    private void advance(double nowMs, PendingRequest pending, PolicyActions actions) {
        pending.setWaiting(false);
        boolean expired = pending.isIdempotent()
                && pending.serviceClass().lateValueFraction() == 0
                && nowMs > pending.objectiveAtMs();
        if (pending.isConcluded() || pending.isStreaming()) {
            return;
        }
        ServerState server = null;
        if (!expired
                && pending.attempts() < settings.maxAttempts()
                && nowMs < pending.request().deadlineMs()) {
            server = pending.isOriginOnly()
                            || (settings.cacheAside()
                                    && pending.isIdempotent()
                                    && pending.attempts() >= MAX_CACHE_ATTEMPTS
                                    && pending.missedServer() == null)
                    ? origin
                    : chooseServer(nowMs, pending, actions);
            if (server == null && settings.cacheAside() && pending.isIdempotent()) {
                server = origin;
            }
        }
        if (server == null || !mayRepeatAt(nowMs, pending, server)) {
            conclude(pending, actions);
            releaseWaiters(nowMs, pending, actions);
            return;
        }
        // A fetch after a miss is the request's ordinary way. All else is more work for a fleet in trouble.
        if (pending.attempts() > 0
                && !(server == origin && pending.missedServer() != null)
                && !admission.admitRetry(nowMs)) {
            conclude(pending, actions);
            return;
        }
        if (server != origin
                && pending.attempts() == 0
                && pending.isIdempotent()
                && shouldReject(pending, serverThrottle.excess(nowMs))) {
            server.endProbe(); // one that is not sent has no end that could clear it, and s would stay out
            conclude(pending, actions);
            return;
        }
        if (server == origin && !pending.request().write() && pending.request().key() != 0) {
            PendingRequest leader = fetchLeaders.get(pending.request().key());
            if (leader != null && (leader != pending || pending.isFetching())) {
                if (leader != pending) {
                    leader.addWaiter(pending);
                    pending.setWaiting(true);
                }
                return;
            }
            if (querySiblings(nowMs, pending, actions)) {
                return;
            }
            double excess = originThrottle.excess(nowMs);
            boolean tooLate = excess > 0 && nowMs + originLatencyMs > pending.objectiveAtMs();
            if (!tooLate) { // who is turned away as too late does not count, or the throttle stays shut
                originThrottle.recordSent(nowMs);
            }
            if (tooLate || shouldReject(pending, excess)) {
                conclude(pending, actions);
                releaseWaiters(nowMs, pending, actions);
                return;
            }
            leadFetch(pending);
            pending.markFetching();
        } else if (server == origin) {
            originThrottle.recordSent(nowMs);
        }
        sendAttempt(nowMs, pending, server, actions);
    }

    private void leadFetch(PendingRequest pending) {
        if (fetchLeaders.putIfAbsent(pending.request().key(), pending) == null) {
            pending.startLeading();
        }
    }

    /** Those who waited with one that will not fetch go on without it. */
    private void releaseWaiters(double nowMs, PendingRequest pending, PolicyActions actions) {
        if (pending.isConcluded() && pending.isLeading() && !pending.isFetching() && pending.inFlightAttempts() == 0) {
            resumeWaiters(nowMs, pending, false, actions);
        }
    }

    /** After a miss siblings are asked before the origin, if that is worth the wait; one question a key. */
    private boolean querySiblings(double nowMs, PendingRequest pending, PolicyActions actions) {
        if (pending.isSiblingsQueried()
                || pending.missedServer() == null
                || pending.inFlightAttempts() > 0
                || pending.attempts() + 2 > settings.maxAttempts()) {
            return false;
        }
        double leftMs = Math.min(pending.objectiveAtMs(), pending.request().deadlineMs()) - nowMs;
        double waitMs = siblings.waitMs(nowMs, originLatencyMs, leftMs, originThrottle.pressure(nowMs));
        if (waitMs <= 0) {
            return false;
        }
        pending.markSiblingsQueried();
        pending.setWaiting(true);
        leadFetch(pending);
        startTimer(waitMs, RETRY_TIMER, pending, actions);
        actions.querySiblings(pending.request().id(), waitMs);
        return true;
    }

    @Override
    public void onSiblingResponse(double nowMs, int requestId, int siblingId, PolicyActions actions) {
        PendingRequest pending = pendingById.get(requestId);
        if (pending == null
                || pending.isConcluded()
                || !pending.isWaiting()
                || pending.isFetching()
                || fetchLeaders.get(pending.request().key()) != pending) {
            return;
        }
        ServerState server = servers.get(siblingId);
        if (server != null
                && siblings.is(server.endpoint())
                && server.endpoint().state() == EndpointState.READY) {
            pending.setWaiting(false);
            sendAttempt(nowMs, pending, server, actions);
        } else {
            advance(nowMs, pending, actions);
        }
    }

    private void sendAttempt(double nowMs, PendingRequest pending, ServerState server, PolicyActions actions) {
        int attempt = pending.startAttempt(nowMs, server);
        if (attempt == 0) {
            admission.recordFirstAttempt(nowMs);
        }
        boolean noValueWhenLate = server != origin
                && pending.isIdempotent()
                && pending.serviceClass().lateValueFraction() == 0;
        actions.sendAttempt(
                pending.request().id(),
                server.id(),
                noValueWhenLate ? Math.max(1, pending.objectiveAtMs() - nowMs) : 0);
        if (server != origin
                && pending.isIdempotent()
                && pending.attempts() < settings.maxAttempts()
                && pending.attempts() <= MAX_CACHE_ATTEMPTS) {
            double patience = hedgingDelayMs(nowMs, pending);
            pending.setHedgeAtMs(nowMs + patience);
            startTimer(patience, HEDGING_TIMER, pending, actions);
        }
    }

    /**
     * How long a cache server may take before it is doubted: three deviations over the usual time for the work hinted
     * at, but early enough that runner-up and origin can still answer within the aim.
     */
    private double hedgingDelayMs(double nowMs, PendingRequest pending) {
        double usualMs = (averageLatencyMs + 3 * latencyDeviationMs) * relativeCost(pending.request());
        double leftMs = Math.min(
                pending.serviceClass().latencyObjectiveMs(), pending.request().deadlineMs() - nowMs);
        return Math.max(leftMs / 4, Math.min(usualMs, leftMs - 2 * originLatencyMs));
    }

    /**
     * The server is overdue: runner-up if the budget allows; guards against silent and hung servers. Where the attempt
     * stays out, its answer clears the server; where it must be called off, one slow answer is no evidence, two in a
     * row are: shunning sound servers moves their keys to the origin.
     */
    private void hedgingDelayElapsed(double nowMs, PendingRequest pending, PolicyActions actions) {
        int attempt = pending.attempts() - 1;
        ServerState server = pending.server(attempt);
        if (pending.isConcluded()
                || pending.isStreaming()
                || pending.hasEnded(attempt)
                || server == origin
                || nowMs < pending.hedgeAtMs()) {
            return; // the timer of an attempt that has ended says nothing of the one that followed it
        }
        if (!siblings.is(server.endpoint()) && (settings.hedgingAllowed() || server.countOverdueAttempt() > 1)) {
            eject(nowMs, server);
        }
        if (hedgeTokens < 1
                || pending.request().deadlineMs() - nowMs < originLatencyMs
                || (!settings.hedgingAllowed() && !settings.cancellationAllowed())) {
            return;
        }
        hedgeTokens--;
        pending.markHedged();
        if (settings.hedgingAllowed()) {
            advance(nowMs, pending, actions);
        } else {
            actions.cancelAttempt(pending.request().id(), attempt);
        }
    }

    private void eject(double nowMs, ServerState server) {
        server.eject(nowMs + ejectionMs(server.failures()));
    }

    /** How long a server is left out that has failed so often before. */
    private double ejectionMs(int failures) {
        return EJECTION_CONNECT_TIMEOUTS * settings.connectTimeoutMs() * (1 << Math.max(0, Math.min(failures, 3)));
    }

    private boolean mayRepeatAt(double nowMs, PendingRequest pending, ServerState server) {
        if (pending.inFlightAttempts() > 0 && !(settings.hedgingAllowed() && pending.isIdempotent())) {
            return false;
        }
        if (!pending.mayHaveRun() || pending.isIdempotent()) {
            return true;
        }
        return pending.serviceClass().idempotency() == Idempotency.DEDUPLICATED
                && nowMs < pending.mayHaveRunSinceMs() + pending.serviceClass().deduplicationWindowMs()
                && inSameScope(
                        pending.serviceClass().deduplicationScope(),
                        pending.mayHaveRunAt().endpoint(),
                        server.endpoint());
    }

    private static boolean inSameScope(DeduplicationScope scope, Endpoint first, Endpoint second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone();
            case CELL -> first.cell() == second.cell();
        };
    }

    private void conclude(PendingRequest pending, PolicyActions actions) {
        if (pending.inFlightAttempts() > 0 && pending.isIdempotent()) {
            return;
        }
        rejectOrFail(pending, actions);
        finish(pending);
    }

    /** The final answer: a refusal only where no attempt may have run. */
    private void rejectOrFail(PendingRequest pending, PolicyActions actions) {
        if (pending.isIdempotent() || (!pending.mayHaveRun() && pending.inFlightAttempts() == 0)) {
            // Told nothing, a client asks again at once, into the jam that it was turned away for. Within the
            // usual time of an answer places come free; spread over it, clients don't return together.
            double retryAfterMs =
                    Math.max(1, Math.min(settings.maxRetryAfterMs(), averageLatencyMs * random.nextDouble()));
            actions.reject(pending.request().id(), settings.retryAfterAllowed() ? retryAfterMs : 0);
        } else {
            actions.fail(pending.request().id());
        }
    }

    private void finish(PendingRequest pending) {
        pending.markConcluded();
        if (pending.inFlightAttempts() == 0) {
            pendingById.remove(pending.request().id());
            pendingByNumber.remove(pending.number());
        }
    }

    // ---- choice of a server

    private ServerState chooseServer(double nowMs, PendingRequest pending, PolicyActions actions) {
        int wanted =
                Math.min(rankedServers.length, Math.max(RANKED_CANDIDATES, pending.hotKeySpread() + RANKED_CANDIDATES));
        int capacity = placement.maxRanked(wanted);
        if (candidates.length < capacity) {
            candidates = new int[capacity];
        }
        int count = wanted == 0 ? 0 : placement.rank(pending.placementKey(), pending.keyHash(), wanted, candidates);
        int offset = pending.hotKeySpread() > 1 ? random.nextInt(pending.hotKeySpread()) : 0;
        ServerState firstUntried = null;
        boolean sawRestored = false;
        for (int i = 0; i < count; i++) {
            ServerState server =
                    rankedServers[candidates[i < pending.hotKeySpread() ? (i + offset) % pending.hotKeySpread() : i]];
            if (pending.wasSentTo(server) && server != pending.missedServer()) {
                continue;
            }
            if (firstUntried == null && !isWarmingUp(nowMs, server)) {
                firstUntried = server;
            }
            // Without the memory of those before it, a cold server would not have been reached.
            if (!(sawRestored && isWarmingUp(nowMs, server)) && accepts(nowMs, pending, server, actions)) {
                return server;
            }
            sawRestored |= server.hasRestoredFailures();
        }
        return firstUntried;
    }

    private boolean accepts(double nowMs, PendingRequest pending, ServerState server, PolicyActions actions) {
        if (server.isTrusted()) {
            return admitsWarmingUp(nowMs, pending, server);
        }
        // A trial that a cold server's limit turns away has no end that could clear it, and s would stay out.
        if (nowMs < server.ejectedUntilMs()
                || server.isProbing()
                || !pending.isIdempotent()
                || pending.attempts() > 0
                || probeTokens < 1
                || (!settings.probingAllowed()
                        && !(admitsWarmingUp(nowMs, pending, server)
                                && admission.admitHalfOpenProbe(nowMs, server.endpoint())))) {
            return false;
        }
        probeTokens--;
        server.startProbe();
        if (settings.probingAllowed()) {
            actions.probeServer(server.id());
        }
        return !settings.probingAllowed();
    }

    private boolean admitsWarmingUp(double nowMs, PendingRequest pending, ServerState server) {
        if (!isWarmingUp(nowMs, server)) {
            return true;
        }
        if (pending.attempts() > 0 || pending.hotKeySpread() > 1) {
            return false;
        }
        double startedMs = startTimes.startedMs(server.endpoint().startedMs(), server.restartSeenMs());
        double ageMs = nowMs - startedMs;
        double capacity = settings.initialCapacityFraction()
                + (1 - settings.initialCapacityFraction()) * Math.max(0, ageMs) / settings.warmUpMs();
        double acceptedFraction = capacity / Math.min(MAX_OVERLOAD_FACTOR, serverThrottle.pressure(nowMs));
        // Each takes its part by chance: of keys chosen alike by all, a new hot one would come from all. Who
        // has just started takes each hot key for a new one, and lets few in until it has seen some requests.
        double fairRequests = hotKeys.ownCount()
                * server.weightFraction()
                * (pending.recentKeyRequests() > 1 ? LATER_REQUEST_FAIR_SHARES : FIRST_REQUEST_FAIR_SHARES);
        return random.nextDouble() < acceptedFraction * Math.min(1, fairRequests / pending.recentKeyRequests())
                && admission.admitWarmingUp(nowMs, server.endpoint(), startedMs);
    }

    private boolean isWarmingUp(double nowMs, ServerState server) {
        return server.endpoint().startedMs() != 0
                && nowMs - startTimes.startedMs(server.endpoint().startedMs(), server.restartSeenMs())
                        < settings.warmUpMs();
    }

    // ---- ends of attempts

    @Override
    public void onAttemptEnd(double nowMs, AttemptResult result, PolicyActions actions) {
        PendingRequest pending = pendingById.get(result.requestId());
        if (pending == null || result.attempt() >= pending.attempts() || pending.hasEnded(result.attempt())) {
            return;
        }
        ServerState server = pending.server(result.attempt());
        pending.endAttempt(result.attempt());
        recordResult(nowMs, pending, server, result);
        if (result.outcome().mayHaveRun()) {
            pending.markMayHaveRun(result.attempt());
        }
        boolean wasDone = pending.isConcluded();
        if (result.answered() || pending.isConcluded()) {
            finish(pending);
        }
        if (pending.isLeading() && server == origin) {
            resumeWaiters(nowMs, pending, result.outcome() == AttemptOutcome.OK, actions);
        } else if (pending.isLeading() && result.outcome() == AttemptOutcome.OK && siblings.is(server.endpoint())) {
            for (PendingRequest waiter :
                    endFetchLead(pending)) { // what it has is not stored here: each fetches it there
                if (!waiter.isConcluded() && waiter.isWaiting() && waiter.attempts() < settings.maxAttempts()) {
                    waiter.setWaiting(false);
                    waiter.markSiblingsQueried();
                    sendAttempt(nowMs, waiter, server, actions);
                }
            }
        }
        releaseWaiters(nowMs, pending, actions);
        if (!wasDone && result.answered()) {
            cancelInFlight(pending, actions);
        } else if (!pending.isConcluded()) {
            attemptAgain(nowMs, pending, server, result, actions);
        }
    }

    private void attemptAgain(
            double nowMs, PendingRequest pending, ServerState server, AttemptResult result, PolicyActions actions) {
        if (result.outcome() == AttemptOutcome.MISS && !siblings.is(server.endpoint())) {
            pending.setOriginOnly(true);
            pending.recordMiss(server);
            if (result.cacheStatus() == CACHE_STATUS_FETCH_PENDING
                    && pending.attempts() + 2 <= settings.maxAttempts()) {
                pending.setOriginOnly(false);
                pending.setWaiting(true);
                startTimer(originLatencyMs, RETRY_TIMER, pending, actions);
                return;
            }
        } else if (server == origin
                && result.outcome() == AttemptOutcome.FULL
                && pending.request().write()
                && pending.attempts() < settings.maxAttempts()) {
            pending.setWaiting(true);
            startTimer(originLatencyMs * (0.5 + random.nextDouble()), RETRY_TIMER, pending, actions);
            return;
        }
        if (server == origin && !pending.request().write()) {
            conclude(pending, actions);
        } else if (pending.inFlightAttempts() == 0 || (pending.isIdempotent() && settings.hedgingAllowed())) {
            advance(nowMs, pending, actions);
        }
    }

    private void cancelInFlight(PendingRequest pending, PolicyActions actions) {
        for (int attempt = 0; settings.cancellationAllowed() && attempt < pending.attempts(); attempt++) {
            if (!pending.hasEnded(attempt)) {
                actions.cancelAttempt(pending.request().id(), attempt);
            }
        }
    }

    /** Those who waited for a fetch find its object where it was missed; where the fetch failed, one of them tries. */
    private void resumeWaiters(double nowMs, PendingRequest pending, boolean stored, PolicyActions actions) {
        for (PendingRequest waiter : endFetchLead(pending)) {
            if (waiter.isConcluded() || !waiter.isWaiting()) {
                continue;
            }
            waiter.setOriginOnly(!stored || waiter.attempts() + 2 > settings.maxAttempts());
            advance(nowMs, waiter, actions);
        }
    }

    private ArrayDeque<PendingRequest> endFetchLead(PendingRequest pending) {
        ArrayDeque<PendingRequest> waiters = pending.stopLeading();
        fetchLeaders.remove(pending.request().key());
        return waiters;
    }

    private void recordResult(double nowMs, PendingRequest pending, ServerState server, AttemptResult result) {
        if (siblings.is(server.endpoint())) {
            siblings.fetched(nowMs, server.id(), result.outcome(), result.elapsedMs());
            return;
        }
        server.markObserved();
        if (pending.isHedged() && result.attempt() > 0 && result.outcome() == AttemptOutcome.OK) {
            hedgeTokens++;
        }
        switch (result.outcome()) {
            case OK, MISS, FULL -> {
                if (server != origin && result.outcome() == AttemptOutcome.FULL && result.attempt() > 0) {
                    serverThrottle.recordSent(nowMs);
                }
                boolean timely = result.elapsedMs() <= pending.serviceClass().latencyObjectiveMs()
                        || serverThrottle.isOverloaded(nowMs);
                if (server == origin || timely) {
                    server.clearFailures();
                }
                server.endProbe();
                if (server != origin && result.outcome() == AttemptOutcome.OK) {
                    serverThrottle.recordSent(nowMs);
                    if (result.elapsedMs() <= pending.serviceClass().latencyObjectiveMs() - originLatencyMs) {
                        serverThrottle.recordAnswered(nowMs);
                    }
                    double relativeLatencyMs = result.elapsedMs() / relativeCost(pending.request());
                    latencyDeviationMs += (Math.abs(relativeLatencyMs - averageLatencyMs) - latencyDeviationMs) / 16;
                    averageLatencyMs += (relativeLatencyMs - averageLatencyMs) / 16;
                    hedgeTokens = Math.min(MAX_HEDGE_TOKENS, hedgeTokens + HEDGE_RATIO);
                }
                if (server == origin && result.outcome() == AttemptOutcome.OK) {
                    if (nowMs <= pending.objectiveAtMs()) {
                        originThrottle.recordAnswered(nowMs);
                    }
                    originLatencyMs += (result.elapsedMs() - originLatencyMs) / 8;
                }
            }
            case CONNECT_FAILED, RESET, TIMEOUT -> {
                if (server != origin) {
                    boolean overloaded = serverThrottle.isOverloaded(nowMs);
                    if (result.outcome() == AttemptOutcome.TIMEOUT && server.failures() <= (overloaded ? 1 : 0)) {
                        serverThrottle.recordSent(nowMs);
                    }
                    if (result.outcome() != AttemptOutcome.RESET
                            || server.failures() > 0
                            || server.countOverdueAttempt() > 1) {
                        eject(nowMs, server);
                    }
                }
            }
            default -> server.endProbe();
        }
    }

    @Override
    public void onFirstByte(double nowMs, int requestId, int attempt, int serverId, PolicyActions actions) {
        PendingRequest pending = pendingById.get(requestId);
        if (pending != null) {
            pending.markStreaming();
        }
    }

    @Override
    public void onClientGone(double nowMs, int requestId, PolicyActions actions) {
        PendingRequest pending = pendingById.get(requestId);
        if (pending != null && !pending.isConcluded()) {
            abandon(nowMs, pending, actions);
        }
    }

    private void abandon(double nowMs, PendingRequest pending, PolicyActions actions) {
        finish(pending);
        if (pending.isStreaming()) {
            return;
        }
        if (!pending.hasWaiters()) {
            cancelInFlight(pending, actions);
        }
        releaseWaiters(nowMs, pending, actions);
    }

    /** Whether a server is known to be sound: ready, warm and not left out; what siblings are told of. */
    public boolean isHealthy(double nowMs, int serverId) {
        ServerState server = servers.get(serverId);
        return server != null
                && server.endpoint().state() == EndpointState.READY
                && server.failures() == 0
                && !isWarmingUp(nowMs, server);
    }

    /** Whether servers or origin lately answered too little in time to take in more than clients ask. */
    public boolean isOverloaded(double nowMs) {
        return serverThrottle.isOverloaded(nowMs) || originThrottle.isOverloaded(nowMs);
    }

    @Override
    public void onTimer(double nowMs, int token, PolicyActions actions) {
        PendingRequest pending = pendingByNumber.get(token >>> 2);
        switch (token & 3) {
            case DEADLINE_TIMER -> {
                if (pending != null && !pending.isConcluded() && !pending.isStreaming()) {
                    rejectOrFail(pending, actions);
                    abandon(nowMs, pending, actions);
                }
            }
            case HEDGING_TIMER -> {
                if (pending != null) {
                    hedgingDelayElapsed(nowMs, pending, actions);
                }
            }
            case RETRY_TIMER -> {
                if (pending != null && pending.isWaiting()) {
                    advance(nowMs, pending, actions);
                }
            }
            case WATCH_TIMER -> {
                if (!watchRequested) {
                    watchRequested = true;
                    actions.watchEndpointList(true);
                }
            }
        }
    }

    private void startTimer(double delayMs, int kind, PendingRequest pending, PolicyActions actions) {
        actions.setTimer(delayMs, (pending == null ? 0 : pending.number() << 2) | kind);
    }

    @Override
    public void onProbeResult(
            double nowMs,
            int serverId,
            AttemptOutcome outcome,
            double elapsedMs,
            float[] loadReport,
            PolicyActions actions) {
        ServerState server = servers.get(serverId);
        if (server == null || server.failures() == 0) {
            return;
        }
        if (outcome == AttemptOutcome.OK) {
            server.passProbe();
        } else {
            eject(nowMs, server);
        }
    }

    @Override
    public void onPeerMessage(double nowMs, int peerId, byte[] message, PolicyActions actions) {}
}
