package cacheproxy.policy;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.CarpPlacement;
import cacheproxy.placement.Placement;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.placement.StartTimes;
import cacheproxy.siblings.Siblings;
import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedHotKeys;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedLoad;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import java.util.*;

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

    /** One server of the list and what this instance has seen of it. */
    private static final class ServerState {
        final int id;
        Endpoint endpoint;
        double weightFraction;
        int failures;
        double ejectedUntilMs;
        int overdueAttempts;
        boolean probing;
        boolean probeSucceeded;
        /** Whether its failures are only remembered: this instance has seen none of its answers yet. */
        boolean restored;
        /** When it was seen to have started since an earlier list; negative infinity: it was on the first. */
        double restartSeenMs = Double.NEGATIVE_INFINITY;

        ServerState(int id) {
            this.id = id;
        }
    }

    private final class PendingRequest {
        final RoutingRequest request;
        final ServiceClass serviceClass;
        final boolean idempotent;
        final double arrivedMs;
        final int keyHash;
        final int number = ++lastRequestNumber & REQUEST_NUMBER_MASK;
        final ServerState[] attemptedServers = new ServerState[settings.maxAttempts()];
        final double[] sentAtMs = new double[settings.maxAttempts()];
        final boolean[] ended = new boolean[settings.maxAttempts()];
        int hotKeySpread = 1;
        int recentCount = 1;
        int attempts;
        int inFlightAttempts;
        boolean done;
        boolean streaming;
        boolean toOrigin;
        boolean waiting;
        boolean hedged;
        /** Whether siblings were asked, and whether it has gone on to the origin. */
        boolean siblingsQueried;

        boolean fetching;
        double hedgeAtMs;
        ServerState missedServer;
        double maybeRanAtMs = Double.NaN;
        ServerState maybeRanServer;
        ArrayDeque<PendingRequest> waiters;

        PendingRequest(RoutingRequest request, double nowMs) {
            this.request = request;
            arrivedMs = nowMs;
            serviceClass = settings.classes().get(request.serviceClass());
            idempotent = serviceClass.idempotency() == Idempotency.IDEMPOTENT;
            keyHash = CarpHash.keyHash(key());
        }

        long key() {
            return request.key() != 0 ? request.key() : Integer.toUnsignedLong(request.id());
        }

        /** The work hinted at, in units of the usual; 1 where there is no hint. */
        double relativeCost() {
            return request.costHintMs() > 0 && averageCost > 0 ? request.costHintMs() / averageCost : 1;
        }
    }

    private static final class HotKeyTracker {
        /** Halving span: long enough for a hot key to show at a proxy with a few requests a second. */
        static final double HALVING_PERIOD_MS = 4000;

        static final int MIN_COUNT = 6;
        static final int MAX_SPREAD_KEYS = 256;
        private final Map<Long, int[]> counts = new HashMap<>();
        /** Those that were spread since the last halving: the ones worth telling a successor. */
        private final Set<Long> spreadKeys = new HashSet<>();

        private double totalCount;
        /** Lately, without what was remembered: more would make a hot key seem fair to a cold server. */
        private double ownCount, ownCountAtMs, halvedAtMs;

        int record(long key, double nowMs) {
            while (nowMs - halvedAtMs > HALVING_PERIOD_MS) {
                halvedAtMs = counts.isEmpty() ? nowMs : halvedAtMs + HALVING_PERIOD_MS;
                totalCount /= 2;
                counts.values().removeIf(count -> (count[0] /= 2) == 0);
                spreadKeys.removeIf(spreadKey -> counts.getOrDefault(spreadKey, new int[1])[0] < MIN_COUNT);
            }
            totalCount++;
            ownCount = ownCount * AdaptiveThrottle.remaining(nowMs - ownCountAtMs) + 1;
            ownCountAtMs = nowMs;
            return ++counts.computeIfAbsent(key, spreadKey -> new int[1])[0];
        }

        LearnedHotKeys learned(int maxKeys) {
            List<LearnedHotKey> keys = new ArrayList<>();
            for (Long key : spreadKeys) {
                int[] count = counts.get(key);
                if (count != null) {
                    keys.add(new LearnedHotKey(key, count[0]));
                }
            }
            keys.sort((left, right) -> Integer.compare(right.count(), left.count()));
            return new LearnedHotKeys(totalCount, List.copyOf(keys.subList(0, Math.min(maxKeys, keys.size()))));
        }

        void restore(LearnedHotKeys learned, double nowMs) {
            halvedAtMs = counts.isEmpty() ? nowMs : halvedAtMs;
            totalCount += learned.total();
            learned.keys()
                    .forEach(learnedKey ->
                            counts.computeIfAbsent(learnedKey.key(), unused -> new int[1])[0] += learnedKey.count());
        }
    }

    /**
     * What the origin was asked and what it answered in time of that, both fading. Guards against the jam in which late
     * and refused fetches are asked for again and the origin works for nobody.
     */
    private static final class AdaptiveThrottle {
        /** Halves in this time: some ten fetches at a proxy with a few a second. */
        static final double HALF_LIFE_MS = 4000;

        static final double HEADROOM = 1.2;
        private double sent;
        private double answered;
        /** What an earlier instance counted, fading alike. */
        private double restoredSent;

        private double restoredAnswered;
        private double decayedAtMs;

        /** What is left of a count after this time. */
        static double remaining(double elapsedMs) {
            return Math.pow(0.5, elapsedMs / HALF_LIFE_MS);
        }

        private void decay(double nowMs) {
            double factor = remaining(nowMs - decayedAtMs);
            sent *= factor;
            answered *= factor;
            restoredSent *= factor;
            restoredAnswered *= factor;
            decayedAtMs = nowMs;
        }

        /** The part of what is wanted that should not be sent; what was recalled never lessens it. */
        double excess(double nowMs) {
            decay(nowMs);
            return Math.max(excess(sent, answered), excess(sent + restoredSent, answered + restoredAnswered));
        }

        private static double excess(double sent, double answered) {
            return (sent - HEADROOM * answered - 1) / (sent + 1);
        }

        double pressure(double nowMs) {
            decay(nowMs);
            return Math.max(
                    1,
                    Math.max(
                            (sent + 1) / (answered + 1),
                            (sent + restoredSent + 1) / (answered + restoredAnswered + 1)));
        }

        LearnedLoad learned(double nowMs) {
            decay(nowMs);
            return new LearnedLoad(sent + restoredSent, answered + restoredAnswered);
        }

        void restore(double nowMs, LearnedLoad learned) {
            decay(nowMs);
            restoredSent += learned.sent();
            restoredAnswered += learned.answered();
        }

        void sent(double nowMs) {
            decay(nowMs);
            sent++;
        }

        void answered(double nowMs) {
            decay(nowMs);
            answered++;
        }
    }

    /**
     * What each tenant asks of this instance, fading. What must be refused comes off those that ask most over their
     * quotas (max-min fair), as that is worth little. Clients' repeats swell all alike.
     */
    private final class TenantShares {
        private final double[] requested = new double[settings.tenants().size()];
        private double decayedAtMs;

        void requested(double nowMs, int tenant) {
            double factor = AdaptiveThrottle.remaining(nowMs - decayedAtMs);
            decayedAtMs = nowMs;
            for (int i = 0; i < requested.length; i++) {
                requested[i] *= factor;
            }
            requested[tenant]++;
        }

        private double allowed(int tenant, double quotaMultiple) {
            return Math.min(
                    requested[tenant],
                    quotaMultiple * settings.tenants().get(tenant).quotaPerSecond());
        }

        /** The part of this tenant's requests to refuse so that in all the part {@code excess} is refused. */
        double rejectionProbability(int tenant, double rejectedFraction) {
            double allowedTotal = 0;
            double highMultiple = 0;
            for (int i = 0; i < requested.length; i++) {
                allowedTotal += requested[i] * (1 - rejectedFraction);
                highMultiple = Math.max(
                        highMultiple,
                        requested[i] / Math.max(1e-9, settings.tenants().get(i).quotaPerSecond()));
            }
            double lowMultiple = 0;
            for (int step = 0; step < 24; step++) {
                double multiple = (lowMultiple + highMultiple) / 2;
                double total = 0;
                for (int i = 0; i < requested.length; i++) {
                    total += allowed(i, multiple);
                }
                if (total < allowedTotal) {
                    lowMultiple = multiple;
                } else {
                    highMultiple = multiple;
                }
            }
            return 1 - allowed(tenant, highMultiple) / requested[tenant];
        }
    }

    /** Whether to refuse this one where a part of all must be refused. */
    private boolean shouldReject(PendingRequest pending, double excess) {
        if (excess <= 0) {
            return false;
        }
        return random.nextDouble()
                < (tenantShares == null ? excess : tenantShares.rejectionProbability(pending.request.tenant(), excess));
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
                settings.overQuotaValueFraction() < 1 && settings.tenants().size() > 1 ? new TenantShares() : null;
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
            servers.values().removeIf(server -> !listedIds.contains(server.id));
        }
        startTimes.recordList(nowMs, endpoints);
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.GONE) {
                servers.remove(endpoint.id());
                continue;
            }
            ServerState server = servers.computeIfAbsent(endpoint.id(), ServerState::new);
            if (server.endpoint != null && server.endpoint.startedMs() != endpoint.startedMs()) {
                server.failures = 0;
                server.ejectedUntilMs = 0;
            }
            if (listReceived && (server.endpoint == null || server.endpoint.startedMs() != endpoint.startedMs())) {
                server.restartSeenMs = nowMs;
            }
            server.endpoint = endpoint;
        }
        listReceived |= !servers.isEmpty();
        rebuildPlacement();
    }

    /** What this instance has learned, with at most so many hot keys. Spans count from now. */
    public LearnedState learnedState(double nowMs, int maxKeys) {
        List<LearnedServer> learnedServers = new ArrayList<>();
        for (ServerState server : servers.values()) {
            if (server != origin && server.failures + server.overdueAttempts > 0) {
                double ejectedForMs = Math.max(0, server.ejectedUntilMs - nowMs);
                learnedServers.add(new LearnedServer(
                        server.id, server.endpoint.startedMs(), server.failures, ejectedForMs, server.overdueAttempts));
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
                    || server.endpoint.startedMs() != learned.startMs()
                    || server.failures + server.overdueAttempts > 0) {
                continue;
            }
            server.failures = learned.failures();
            server.overdueAttempts = learned.overdueAttempts();
            server.ejectedUntilMs = nowMs + Math.min(learned.ejectedForMs(), ejectionMs(learned.failures() - 1));
            server.restored = learned.failures() > 0;
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
            if (server.endpoint.state() != EndpointState.READY || siblings.is(server.endpoint)) {
                continue;
            }
            if (settings.cacheAside() && server.endpoint.kind() == settings.originKind()) {
                origin = server;
            } else {
                ranked.add(server);
            }
        }
        ranked.sort((attempt, b) -> Integer.compareUnsigned(attempt.id, b.id));
        rankedServers = ranked.toArray(new ServerState[0]);
        float[] weights = new float[rankedServers.length];
        double sum = 0;
        for (int i = 0; i < rankedServers.length; i++) {
            weights[i] = rankedServers[i].endpoint.weight();
            sum += weights[i];
        }
        placement =
                placements.create(ranked.stream().map(server -> server.endpoint).toList());
        for (int i = 0; i < rankedServers.length; i++) {
            rankedServers[i].weightFraction = sum > 0 ? weights[i] / sum : 1.0 / rankedServers.length;
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
            tenantShares.requested(nowMs, request.tenant());
        }
        probeTokens = Math.min(1, probeTokens + HEDGE_RATIO);
        PendingRequest pending = new PendingRequest(request, nowMs);
        pendingById.put(request.id(), pending);
        pendingByNumber.put(pending.number, pending);
        startTimer(Math.max(0, request.deadlineMs() - nowMs), DEADLINE_TIMER, pending, actions);
        pending.toOrigin = settings.cacheAside() && request.write();
        if (!pending.toOrigin && request.key() != 0) {
            pending.recentCount = hotKeys.record(request.key(), nowMs);
            pending.hotKeySpread = hotKeySpread(request.key(), pending.recentCount);
        }
        advance(nowMs, pending, actions);
    }

    /**
     * The draft sends all of a key to one member. A key that locally exceeds a server's fair part is spread over as
     * many of its top ranks as bring each under that, wherever it is as hot.
     */
    private int hotKeySpread(long key, int recentCount) {
        int maxSpread = placement.maxHotKeySpread();
        int spread = recentCount < HotKeyTracker.MIN_COUNT
                ? 1
                : (int) Math.ceil(recentCount / hotKeys.totalCount * maxSpread);
        if (spread > 1 && hotKeys.spreadKeys.size() < HotKeyTracker.MAX_SPREAD_KEYS) {
            hotKeys.spreadKeys.add(key);
        }
        return Math.max(1, Math.min(spread, maxSpread));
    }

    private void advance(double nowMs, PendingRequest pending, PolicyActions actions) {
        pending.waiting = false;
        boolean expired = pending.idempotent
                && pending.serviceClass.lateValueFraction() == 0
                && nowMs > pending.arrivedMs + pending.serviceClass.latencyObjectiveMs();
        if (pending.done || pending.streaming) {
            return;
        }
        ServerState server = null;
        if (!expired && pending.attempts < settings.maxAttempts() && nowMs < pending.request.deadlineMs()) {
            server = pending.toOrigin
                            || (settings.cacheAside()
                                    && pending.idempotent
                                    && pending.attempts >= MAX_CACHE_ATTEMPTS
                                    && pending.missedServer == null)
                    ? origin
                    : chooseServer(nowMs, pending, actions);
            if (server == null && settings.cacheAside() && pending.idempotent) {
                server = origin;
            }
        }
        if (server == null || !mayRepeatAt(nowMs, pending, server)) {
            conclude(pending, actions);
            releaseWaiters(nowMs, pending, actions);
            return;
        }
        // A fetch after a miss is the request's ordinary way. All else is more work for a fleet in trouble.
        if (pending.attempts > 0
                && !(server == origin && pending.missedServer != null)
                && !admission.admitRetry(nowMs)) {
            conclude(pending, actions);
            return;
        }
        if (server != origin
                && pending.attempts == 0
                && pending.idempotent
                && shouldReject(pending, serverThrottle.excess(nowMs))) {
            server.probing = false; // one that is not sent has no end that could clear it, and s would stay out
            conclude(pending, actions);
            return;
        }
        if (server == origin && !pending.request.write() && pending.request.key() != 0) {
            PendingRequest leader = fetchLeaders.get(pending.request.key());
            if (leader != null && (leader != pending || pending.fetching)) {
                pending.waiting = leader != pending && leader.waiters.add(pending);
                return;
            }
            if (querySiblings(nowMs, pending, actions)) {
                return;
            }
            double excess = originThrottle.excess(nowMs);
            boolean tooLate = excess > 0
                    && nowMs + originLatencyMs > pending.arrivedMs + pending.serviceClass.latencyObjectiveMs();
            if (!tooLate) { // who is turned away as too late does not count, or the throttle stays shut
                originThrottle.sent(nowMs);
            }
            if (tooLate || shouldReject(pending, excess)) {
                conclude(pending, actions);
                releaseWaiters(nowMs, pending, actions);
                return;
            }
            leadFetch(pending);
            pending.fetching = true;
        } else if (server == origin) {
            originThrottle.sent(nowMs);
        }
        sendAttempt(nowMs, pending, server, actions);
    }

    private void leadFetch(PendingRequest pending) {
        if (fetchLeaders.putIfAbsent(pending.request.key(), pending) == null) {
            pending.waiters = new ArrayDeque<>();
        }
    }

    /** Those who waited with one that will not fetch go on without it. */
    private void releaseWaiters(double nowMs, PendingRequest pending, PolicyActions actions) {
        if (pending.done && pending.waiters != null && !pending.fetching && pending.inFlightAttempts == 0) {
            resumeWaiters(nowMs, pending, false, actions);
        }
    }

    /** After a miss siblings are asked before the origin, if that is worth the wait; one question a key. */
    private boolean querySiblings(double nowMs, PendingRequest pending, PolicyActions actions) {
        if (pending.siblingsQueried
                || pending.missedServer == null
                || pending.inFlightAttempts > 0
                || pending.attempts + 2 > settings.maxAttempts()) {
            return false;
        }
        double leftMs =
                Math.min(pending.arrivedMs + pending.serviceClass.latencyObjectiveMs(), pending.request.deadlineMs())
                        - nowMs;
        double waitMs = siblings.waitMs(nowMs, originLatencyMs, leftMs, originThrottle.pressure(nowMs));
        if (waitMs <= 0) {
            return false;
        }
        pending.siblingsQueried = pending.waiting = true;
        leadFetch(pending);
        startTimer(waitMs, RETRY_TIMER, pending, actions);
        actions.querySiblings(pending.request.id(), waitMs);
        return true;
    }

    @Override
    public void onSiblingResponse(double nowMs, int requestId, int siblingId, PolicyActions actions) {
        PendingRequest pending = pendingById.get(requestId);
        if (pending == null
                || pending.done
                || !pending.waiting
                || pending.fetching
                || fetchLeaders.get(pending.request.key()) != pending) {
            return;
        }
        ServerState server = servers.get(siblingId);
        if (server != null && siblings.is(server.endpoint) && server.endpoint.state() == EndpointState.READY) {
            pending.waiting = false;
            sendAttempt(nowMs, pending, server, actions);
        } else {
            advance(nowMs, pending, actions);
        }
    }

    private void sendAttempt(double nowMs, PendingRequest pending, ServerState server, PolicyActions actions) {
        int attempt = pending.attempts++;
        if (attempt == 0) {
            admission.recordFirstAttempt(nowMs);
        }
        pending.attemptedServers[attempt] = server;
        pending.sentAtMs[attempt] = nowMs;
        pending.inFlightAttempts++;
        boolean noValueWhenLate =
                server != origin && pending.idempotent && pending.serviceClass.lateValueFraction() == 0;
        actions.sendAttempt(
                pending.request.id(),
                server.id,
                noValueWhenLate
                        ? Math.max(1, pending.arrivedMs + pending.serviceClass.latencyObjectiveMs() - nowMs)
                        : 0);
        if (server != origin
                && pending.idempotent
                && pending.attempts < settings.maxAttempts()
                && pending.attempts <= MAX_CACHE_ATTEMPTS) {
            double patience = hedgingDelayMs(nowMs, pending);
            pending.hedgeAtMs = nowMs + patience;
            startTimer(patience, HEDGING_TIMER, pending, actions);
        }
    }

    /**
     * How long a cache server may take before it is doubted: three deviations over the usual time for the work hinted
     * at, but early enough that runner-up and origin can still answer within the aim.
     */
    private double hedgingDelayMs(double nowMs, PendingRequest pending) {
        double usualMs = (averageLatencyMs + 3 * latencyDeviationMs) * pending.relativeCost();
        double leftMs = Math.min(pending.serviceClass.latencyObjectiveMs(), pending.request.deadlineMs() - nowMs);
        return Math.max(leftMs / 4, Math.min(usualMs, leftMs - 2 * originLatencyMs));
    }

    /**
     * The server is overdue: runner-up if the budget allows; guards against silent and hung servers. Where the attempt
     * stays out, its answer clears the server; where it must be called off, one slow answer is no evidence, two in a
     * row are: shunning sound servers moves their keys to the origin.
     */
    private void hedgingDelayElapsed(double nowMs, PendingRequest pending, PolicyActions actions) {
        int attempt = pending.attempts - 1;
        ServerState server = pending.attemptedServers[attempt];
        if (pending.done
                || pending.streaming
                || pending.ended[attempt]
                || server == origin
                || nowMs < pending.hedgeAtMs) {
            return; // the timer of an attempt that has ended says nothing of the one that followed it
        }
        if (!siblings.is(server.endpoint) && (settings.hedgingAllowed() || ++server.overdueAttempts > 1)) {
            eject(nowMs, server);
        }
        if (hedgeTokens < 1
                || pending.request.deadlineMs() - nowMs < originLatencyMs
                || (!settings.hedgingAllowed() && !settings.cancellationAllowed())) {
            return;
        }
        hedgeTokens--;
        pending.hedged = true;
        if (settings.hedgingAllowed()) {
            advance(nowMs, pending, actions);
        } else {
            actions.cancelAttempt(pending.request.id(), attempt);
        }
    }

    private void eject(double nowMs, ServerState server) {
        server.probing = false;
        server.probeSucceeded = false;
        server.ejectedUntilMs = nowMs + ejectionMs(server.failures);
        server.failures++;
    }

    /** How long a server is left out that has failed so often before. */
    private double ejectionMs(int failures) {
        return EJECTION_CONNECT_TIMEOUTS * settings.connectTimeoutMs() * (1 << Math.max(0, Math.min(failures, 3)));
    }

    private boolean mayRepeatAt(double nowMs, PendingRequest pending, ServerState server) {
        if (pending.inFlightAttempts > 0 && !(settings.hedgingAllowed() && pending.idempotent)) {
            return false;
        }
        if (Double.isNaN(pending.maybeRanAtMs) || pending.idempotent) {
            return true;
        }
        return pending.serviceClass.idempotency() == Idempotency.DEDUPLICATED
                && nowMs < pending.maybeRanAtMs + pending.serviceClass.deduplicationWindowMs()
                && inSameScope(
                        pending.serviceClass.deduplicationScope(), pending.maybeRanServer.endpoint, server.endpoint);
    }

    private static boolean inSameScope(DeduplicationScope scope, Endpoint first, Endpoint second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone();
            case CELL -> first.cell() == second.cell();
        };
    }

    private void conclude(PendingRequest pending, PolicyActions actions) {
        if (pending.inFlightAttempts > 0 && pending.idempotent) {
            return;
        }
        rejectOrFail(pending, actions);
        finish(pending);
    }

    /** The final answer: a refusal only where no attempt may have run. */
    private void rejectOrFail(PendingRequest pending, PolicyActions actions) {
        if (pending.idempotent || (Double.isNaN(pending.maybeRanAtMs) && pending.inFlightAttempts == 0)) {
            // Told nothing, a client asks again at once, into the jam that it was turned away for. Within the
            // usual time of an answer places come free; spread over it, clients don't return together.
            double retryAfterMs =
                    Math.max(1, Math.min(settings.maxRetryAfterMs(), averageLatencyMs * random.nextDouble()));
            actions.reject(pending.request.id(), settings.retryAfterAllowed() ? retryAfterMs : 0);
        } else {
            actions.fail(pending.request.id());
        }
    }

    private void finish(PendingRequest pending) {
        pending.done = true;
        if (pending.inFlightAttempts == 0) {
            pendingById.remove(pending.request.id());
            pendingByNumber.remove(pending.number);
        }
    }

    // ---- choice of a server

    private ServerState chooseServer(double nowMs, PendingRequest pending, PolicyActions actions) {
        int wanted =
                Math.min(rankedServers.length, Math.max(RANKED_CANDIDATES, pending.hotKeySpread + RANKED_CANDIDATES));
        int capacity = placement.maxRanked(wanted);
        if (candidates.length < capacity) {
            candidates = new int[capacity];
        }
        int count = wanted == 0 ? 0 : placement.rank(pending.key(), pending.keyHash, wanted, candidates);
        int offset = pending.hotKeySpread > 1 ? random.nextInt(pending.hotKeySpread) : 0;
        ServerState firstUntried = null;
        boolean sawRestored = false;
        for (int i = 0; i < count; i++) {
            ServerState server =
                    rankedServers[candidates[i < pending.hotKeySpread ? (i + offset) % pending.hotKeySpread : i]];
            if (wasAttempted(pending, server) && server != pending.missedServer) {
                continue;
            }
            if (firstUntried == null && !isWarmingUp(nowMs, server)) {
                firstUntried = server;
            }
            // Without the memory of those before it, a cold server would not have been reached.
            if (!(sawRestored && isWarmingUp(nowMs, server)) && accepts(nowMs, pending, server, actions)) {
                return server;
            }
            sawRestored |= server.restored;
        }
        return firstUntried;
    }

    private static boolean wasAttempted(PendingRequest pending, ServerState server) {
        for (int attempt = 0; attempt < pending.attempts; attempt++) {
            if (pending.attemptedServers[attempt] == server) {
                return true;
            }
        }
        return false;
    }

    private boolean accepts(double nowMs, PendingRequest pending, ServerState server, PolicyActions actions) {
        if (server.failures == 0 || (server.probeSucceeded && !server.probing)) {
            return admitsWarmingUp(nowMs, pending, server);
        }
        // A trial that a cold server's limit turns away has no end that could clear it, and s would stay out.
        if (nowMs < server.ejectedUntilMs
                || server.probing
                || !pending.idempotent
                || pending.attempts > 0
                || probeTokens < 1
                || (!settings.probingAllowed()
                        && !(admitsWarmingUp(nowMs, pending, server)
                                && admission.admitHalfOpenProbe(nowMs, server.endpoint)))) {
            return false;
        }
        probeTokens--;
        server.probing = true;
        if (settings.probingAllowed()) {
            actions.probeServer(server.id);
        }
        return !settings.probingAllowed();
    }

    private boolean admitsWarmingUp(double nowMs, PendingRequest pending, ServerState server) {
        if (!isWarmingUp(nowMs, server)) {
            return true;
        }
        if (pending.attempts > 0 || pending.hotKeySpread > 1) {
            return false;
        }
        double startedMs = startTimes.startedMs(server.endpoint.startedMs(), server.restartSeenMs);
        double ageMs = nowMs - startedMs;
        double capacity = settings.initialCapacityFraction()
                + (1 - settings.initialCapacityFraction()) * Math.max(0, ageMs) / settings.warmUpMs();
        double acceptedFraction = capacity / Math.min(MAX_OVERLOAD_FACTOR, serverThrottle.pressure(nowMs));
        // Each takes its part by chance: of keys chosen alike by all, a new hot one would come from all. Who
        // has just started takes each hot key for a new one, and lets few in until it has seen some requests.
        double fairRequests = hotKeys.ownCount
                * server.weightFraction
                * (pending.recentCount > 1 ? LATER_REQUEST_FAIR_SHARES : FIRST_REQUEST_FAIR_SHARES);
        return random.nextDouble() < acceptedFraction * Math.min(1, fairRequests / pending.recentCount)
                && admission.admitWarmingUp(nowMs, server.endpoint, startedMs);
    }

    private boolean isWarmingUp(double nowMs, ServerState server) {
        return server.endpoint.startedMs() != 0
                && nowMs - startTimes.startedMs(server.endpoint.startedMs(), server.restartSeenMs)
                        < settings.warmUpMs();
    }

    // ---- ends of attempts

    @Override
    public void onAttemptEnd(double nowMs, AttemptResult result, PolicyActions actions) {
        PendingRequest pending = pendingById.get(result.requestId());
        if (pending == null || result.attempt() >= pending.attempts || pending.ended[result.attempt()]) {
            return;
        }
        ServerState server = pending.attemptedServers[result.attempt()];
        pending.ended[result.attempt()] = true;
        pending.inFlightAttempts--;
        recordResult(nowMs, pending, server, result);
        if (result.outcome().mayHaveRun() && Double.isNaN(pending.maybeRanAtMs)) {
            pending.maybeRanAtMs = pending.sentAtMs[result.attempt()];
            pending.maybeRanServer = server;
        }
        boolean wasDone = pending.done;
        if (result.answered() || pending.done) {
            finish(pending);
        }
        if (pending.waiters != null && server == origin) {
            resumeWaiters(nowMs, pending, result.outcome() == AttemptOutcome.OK, actions);
        } else if (pending.waiters != null && result.outcome() == AttemptOutcome.OK && siblings.is(server.endpoint)) {
            for (PendingRequest waiter :
                    endFetchLead(pending)) { // what it has is not stored here: each fetches it there
                if (!waiter.done && waiter.waiting && waiter.attempts < settings.maxAttempts()) {
                    waiter.waiting = false;
                    waiter.siblingsQueried = true;
                    sendAttempt(nowMs, waiter, server, actions);
                }
            }
        }
        releaseWaiters(nowMs, pending, actions);
        if (!wasDone && result.answered()) {
            cancelInFlight(pending, actions);
        } else if (!pending.done) {
            attemptAgain(nowMs, pending, server, result, actions);
        }
    }

    private void attemptAgain(
            double nowMs, PendingRequest pending, ServerState server, AttemptResult result, PolicyActions actions) {
        if (result.outcome() == AttemptOutcome.MISS && !siblings.is(server.endpoint)) {
            pending.toOrigin = true;
            pending.missedServer = server;
            if (result.cacheStatus() == CACHE_STATUS_FETCH_PENDING && pending.attempts + 2 <= settings.maxAttempts()) {
                pending.toOrigin = false;
                pending.waiting = true;
                startTimer(originLatencyMs, RETRY_TIMER, pending, actions);
                return;
            }
        } else if (server == origin
                && result.outcome() == AttemptOutcome.FULL
                && pending.request.write()
                && pending.attempts < settings.maxAttempts()) {
            pending.waiting = true;
            startTimer(originLatencyMs * (0.5 + random.nextDouble()), RETRY_TIMER, pending, actions);
            return;
        }
        if (server == origin && !pending.request.write()) {
            conclude(pending, actions);
        } else if (pending.inFlightAttempts == 0 || (pending.idempotent && settings.hedgingAllowed())) {
            advance(nowMs, pending, actions);
        }
    }

    private void cancelInFlight(PendingRequest pending, PolicyActions actions) {
        for (int attempt = 0; settings.cancellationAllowed() && attempt < pending.attempts; attempt++) {
            if (!pending.ended[attempt]) {
                actions.cancelAttempt(pending.request.id(), attempt);
            }
        }
    }

    /** Those who waited for a fetch find its object where it was missed; where the fetch failed, one of them tries. */
    private void resumeWaiters(double nowMs, PendingRequest pending, boolean stored, PolicyActions actions) {
        for (PendingRequest waiter : endFetchLead(pending)) {
            if (waiter.done || !waiter.waiting) {
                continue;
            }
            waiter.toOrigin = !stored || waiter.attempts + 2 > settings.maxAttempts();
            advance(nowMs, waiter, actions);
        }
    }

    private ArrayDeque<PendingRequest> endFetchLead(PendingRequest pending) {
        ArrayDeque<PendingRequest> followers = pending.waiters;
        fetchLeaders.remove(pending.request.key());
        pending.waiters = null;
        return followers;
    }

    private void recordResult(double nowMs, PendingRequest pending, ServerState server, AttemptResult result) {
        if (siblings.is(server.endpoint)) {
            siblings.fetched(nowMs, server.id, result.outcome(), result.elapsedMs());
            return;
        }
        server.restored = false;
        if (pending.hedged && result.attempt() > 0 && result.outcome() == AttemptOutcome.OK) {
            hedgeTokens++;
        }
        switch (result.outcome()) {
            case OK, MISS, FULL -> {
                if (server != origin && result.outcome() == AttemptOutcome.FULL && result.attempt() > 0) {
                    serverThrottle.sent(nowMs);
                }
                boolean timely = result.elapsedMs() <= pending.serviceClass.latencyObjectiveMs()
                        || serverThrottle.pressure(nowMs) > AdaptiveThrottle.HEADROOM;
                if (server == origin || timely) {
                    server.failures = server.overdueAttempts = 0;
                }
                server.probing = false;
                if (server != origin && result.outcome() == AttemptOutcome.OK) {
                    serverThrottle.sent(nowMs);
                    if (result.elapsedMs() <= pending.serviceClass.latencyObjectiveMs() - originLatencyMs) {
                        serverThrottle.answered(nowMs);
                    }
                    double relativeLatencyMs = result.elapsedMs() / pending.relativeCost();
                    latencyDeviationMs += (Math.abs(relativeLatencyMs - averageLatencyMs) - latencyDeviationMs) / 16;
                    averageLatencyMs += (relativeLatencyMs - averageLatencyMs) / 16;
                    hedgeTokens = Math.min(MAX_HEDGE_TOKENS, hedgeTokens + HEDGE_RATIO);
                }
                if (server == origin && result.outcome() == AttemptOutcome.OK) {
                    if (nowMs <= pending.arrivedMs + pending.serviceClass.latencyObjectiveMs()) {
                        originThrottle.answered(nowMs);
                    }
                    originLatencyMs += (result.elapsedMs() - originLatencyMs) / 8;
                }
            }
            case CONNECT_FAILED, RESET, TIMEOUT -> {
                if (server != origin) {
                    boolean overloaded = serverThrottle.pressure(nowMs) > AdaptiveThrottle.HEADROOM;
                    if (result.outcome() == AttemptOutcome.TIMEOUT && server.failures <= (overloaded ? 1 : 0)) {
                        serverThrottle.sent(nowMs);
                    }
                    if (result.outcome() != AttemptOutcome.RESET
                            || server.failures > 0
                            || ++server.overdueAttempts > 1) {
                        eject(nowMs, server);
                    }
                }
            }
            default -> server.probing = false;
        }
    }

    @Override
    public void onFirstByte(double nowMs, int requestId, int attempt, int serverId, PolicyActions actions) {
        PendingRequest pending = pendingById.get(requestId);
        if (pending != null) {
            pending.streaming = true;
        }
    }

    @Override
    public void onClientGone(double nowMs, int requestId, PolicyActions actions) {
        PendingRequest pending = pendingById.get(requestId);
        if (pending != null && !pending.done) {
            abandon(nowMs, pending, actions);
        }
    }

    private void abandon(double nowMs, PendingRequest pending, PolicyActions actions) {
        finish(pending);
        if (pending.streaming) {
            return;
        }
        if (pending.waiters == null || pending.waiters.isEmpty()) {
            cancelInFlight(pending, actions);
        }
        releaseWaiters(nowMs, pending, actions);
    }

    /** Whether a server is known to be sound: ready, warm and not left out; what siblings are told of. */
    public boolean isHealthy(double nowMs, int serverId) {
        ServerState server = servers.get(serverId);
        return server != null
                && server.endpoint.state() == EndpointState.READY
                && server.failures == 0
                && !isWarmingUp(nowMs, server);
    }

    /** Whether servers or origin lately answered too little in time to take in more than clients ask. */
    public boolean isOverloaded(double nowMs) {
        return serverThrottle.pressure(nowMs) > AdaptiveThrottle.HEADROOM
                || originThrottle.pressure(nowMs) > AdaptiveThrottle.HEADROOM;
    }

    @Override
    public void onTimer(double nowMs, int token, PolicyActions actions) {
        PendingRequest pending = pendingByNumber.get(token >>> 2);
        switch (token & 3) {
            case DEADLINE_TIMER -> {
                if (pending != null && !pending.done && !pending.streaming) {
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
                if (pending != null && pending.waiting) {
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
        actions.setTimer(delayMs, (pending == null ? 0 : pending.number << 2) | kind);
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
        if (server == null || server.failures == 0) {
            return;
        }
        if (outcome == AttemptOutcome.OK) {
            server.probing = false;
            server.probeSucceeded = true;
        } else {
            eject(nowMs, server);
        }
    }

    @Override
    public void onPeerMessage(double nowMs, int peerId, byte[] message, PolicyActions actions) {}
}
