package cacheproxy.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Runs a policy on a virtual clock and records its actions. */
final class PolicyHarness implements PolicyActions {
    static final int ORIGIN = 9000;
    static final int IDEMPOTENT = 0;
    static final int DEDUPLICATED = 1;
    static final int NON_IDEMPOTENT = 2;

    /** An attempt that the policy has sent. */
    record SentAttempt(int requestId, int attempt, int serverId, double timeoutMs) {}

    /** A timer that is not due yet. */
    record PendingTimer(double dueAtMs, int token) {}

    final List<SentAttempt> sentAttempts = new ArrayList<>();
    final List<Integer> rejected = new ArrayList<>();
    /** The retry-after times of rejections in milliseconds, in order. */
    final List<Double> retryAfterTimes = new ArrayList<>();

    final List<Integer> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<Integer> siblingQueries = new ArrayList<>();
    final List<Integer> probedServers = new ArrayList<>();
    final List<PendingTimer> timers = new ArrayList<>();
    final List<String> actions = new ArrayList<>();
    final Map<Integer, Integer> attemptCounts = new HashMap<>();
    final RoutingPolicy policy;
    int watchCount;
    double nowMs = 1000;
    /** The id and the key of the last steady read. */
    private int steadyReadId = 100_000_000;

    PolicyHarness(PolicySettings settings) {
        this(settings, new RoutingPolicy(settings, 42));
    }

    PolicyHarness(PolicySettings settings, RoutingPolicy policy) {
        this.policy = policy;
    }

    static PolicySettings settings(
            boolean cacheAside, boolean pollsDiscovery, boolean hedgingAllowed, DeduplicationScope deduplicationScope) {
        return settings(
                cacheAside, pollsDiscovery, hedgingAllowed, deduplicationScope, List.of(new Tenant("a", 1, 100)));
    }

    /** Returns settings of two tenants; requests over their quotas have a tenth of the normal value. */
    static PolicySettings settingsOfTwoTenants(double firstQuotaPerSecond, double secondQuotaPerSecond) {
        return settings(
                true,
                false,
                false,
                DeduplicationScope.ALL,
                List.of(new Tenant("a", 0.5, firstQuotaPerSecond), new Tenant("b", 0.5, secondQuotaPerSecond)));
    }

    private static PolicySettings settings(
            boolean cacheAside,
            boolean pollsDiscovery,
            boolean hedgingAllowed,
            DeduplicationScope deduplicationScope,
            List<Tenant> tenants) {
        List<ServiceClass> classes = List.of(
                new ServiceClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false),
                new ServiceClass("save", Idempotency.DEDUPLICATED, deduplicationScope, 400, 300, 1000, 1, 0.2, false),
                new ServiceClass(
                        "pay", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false));
        return PolicySettings.builder()
                .instanceIndex(0)
                .instanceCount(4)
                .zone(0)
                .zoneCount(2)
                .kindCount(2)
                .pollsDiscovery(pollsDiscovery)
                .cacheAside(cacheAside)
                .originKind(cacheAside ? 1 : -1)
                .overQuotaValueFraction(0.1)
                .cancellationAllowed(true)
                .probingAllowed(true)
                .hedgingAllowed(hedgingAllowed)
                .retryAfterAllowed(true)
                .maxAttempts(3)
                .maxRetryAfterMs(500)
                .connectTimeoutMs(100)
                .drainGraceMs(500)
                .responseGraceMs(20)
                .initialCapacityFraction(0.3)
                .warmUpMs(8000)
                .collapseLoadMultiple(3)
                .collapseAfterMs(2000)
                .maxPollAgeMs(pollsDiscovery ? 10000 : 0)
                .classes(classes)
                .tenants(tenants)
                .build();
    }

    /** Returns the settings with health checks disabled. */
    static PolicySettings withoutProbing(PolicySettings settings) {
        return settings.toBuilder().probingAllowed(false).build();
    }

    /** Returns a harness for a cache-aside pool whose endpoint list is pushed, without hedging. */
    static PolicyHarness cacheAside() {
        return new PolicyHarness(settings(true, false, false, DeduplicationScope.ALL));
    }

    static Endpoint endpoint(int id, EndpointState state, double startedMs) {
        return new Endpoint(id, id % 2, id == ORIGIN ? 1 : 0, id / 4, state, 1, startedMs);
    }

    /** Sends a list of servers 1 to {@code serverCount} and the origin, all ready and warmed up. */
    PolicyHarness withFleet(int serverCount) {
        List<Endpoint> endpoints = new ArrayList<>();
        endpoints.add(endpoint(ORIGIN, EndpointState.READY, 0));
        for (int id = 1; id <= serverCount; id++) {
            endpoints.add(endpoint(id, EndpointState.READY, 0));
        }
        policy.onEndpointList(nowMs, EndpointListKind.CACHED, endpoints, this);
        return this;
    }

    /**
     * Reads other keys at a constant rate, each of which is answered at once, and forgets them. The policy then knows
     * what its servers can do; without that it sends a server in its slow start next to nothing.
     *
     * @param answeredAfterMs what the policy is told of the time that the first three answers in four took
     */
    PolicyHarness withSteadyReads(double perMs, double durationMs, double answeredAfterMs) {
        int count = (int) Math.round(perMs * durationMs);
        for (int i = 0; i < count; i++) {
            int sentBefore = sentAttempts.size();
            read(++steadyReadId, steadyReadId);
            if (sentAttempts.size() > sentBefore) {
                endAfter(lastSent(), AttemptOutcome.OK, i % 4 > 0 ? answeredAfterMs : 10);
            }
            nowMs += 1 / perMs;
        }
        sentAttempts.clear();
        rejected.clear();
        timers.clear();
        actions.clear();
        return this;
    }

    void changeEndpoints(Endpoint... endpoints) {
        policy.onEndpointList(nowMs, EndpointListKind.CHANGES, List.of(endpoints), this);
    }

    void read(int id, long key) {
        policy.onRequest(
                nowMs, new RoutingRequest(id, IDEMPOTENT, 0, key, nowMs + 1000, Double.NaN, 0, false, false), this);
    }

    void write(int id, int serviceClass) {
        policy.onRequest(
                nowMs, new RoutingRequest(id, serviceClass, 0, 7, nowMs + 1000, Double.NaN, 0, true, false), this);
    }

    SentAttempt lastSent() {
        return sentAttempts.get(sentAttempts.size() - 1);
    }

    void end(SentAttempt sent, AttemptOutcome outcome) {
        end(sent, outcome, outcome == AttemptOutcome.OK, 0);
    }

    void end(SentAttempt sent, AttemptOutcome outcome, boolean answered, int cacheStatus) {
        policy.onAttemptEnd(
                nowMs,
                new AttemptResult(
                        sent.requestId(), sent.attempt(), sent.serverId(), outcome, 10, answered, cacheStatus, null),
                this);
    }

    /** Ends an attempt that has produced the final response after {@code elapsedMs}. */
    void endAfter(SentAttempt sent, AttemptOutcome outcome, double elapsedMs) {
        policy.onAttemptEnd(
                nowMs,
                new AttemptResult(sent.requestId(), sent.attempt(), sent.serverId(), outcome, elapsedMs, true, 0, null),
                this);
    }

    /** Advances the clock and fires the timers that are due, in order. */
    void advanceTime(double ms) {
        double untilMs = nowMs + ms;
        while (true) {
            PendingTimer next = null;
            for (PendingTimer timer : timers) {
                if (timer.dueAtMs() <= untilMs && (next == null || timer.dueAtMs() < next.dueAtMs())) {
                    next = timer;
                }
            }
            if (next == null) {
                break;
            }
            timers.remove(next);
            nowMs = Math.max(nowMs, next.dueAtMs());
            policy.onTimer(nowMs, next.token(), this);
        }
        nowMs = untilMs;
    }

    int finalResponses() {
        return rejected.size() + failed.size();
    }

    @Override
    public void sendAttempt(int requestId, int serverId, double timeoutMs) {
        int attempt = attemptCounts.merge(requestId, 1, Integer::sum) - 1;
        sentAttempts.add(new SentAttempt(requestId, attempt, serverId, timeoutMs));
        actions.add("send " + requestId + " " + serverId + " " + timeoutMs);
    }

    @Override
    public void reject(int requestId, double retryAfterMs) {
        rejected.add(requestId);
        retryAfterTimes.add(retryAfterMs);
        actions.add("reject " + requestId);
    }

    @Override
    public void fail(int requestId) {
        failed.add(requestId);
        actions.add("fail " + requestId);
    }

    @Override
    public void cancelAttempt(int requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
        actions.add("cancel " + requestId + "/" + attempt);
    }

    @Override
    public void setTimer(double delayMs, int token) {
        timers.add(new PendingTimer(nowMs + delayMs, token));
        actions.add("timer " + delayMs + " " + token);
    }

    @Override
    public void querySiblings(int requestId, double waitMs) {
        siblingQueries.add(requestId);
        actions.add("query siblings " + requestId + " " + waitMs);
    }

    @Override
    public void probeServer(int serverId) {
        probedServers.add(serverId);
        actions.add("probe " + serverId);
    }

    @Override
    public void closeIdleConnections(int serverId) {
        actions.add("close " + serverId);
    }

    @Override
    public void sendToPeer(int peerId, byte[] message) {
        actions.add("send to peer " + peerId);
    }

    @Override
    public void watchEndpointList(boolean enabled) {
        watchCount++;
        actions.add("watch " + enabled);
    }

    @Override
    public void fetchEndpointList() {
        actions.add("fetch list");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }

    /** Returns the id of the best ranked server of a key among servers 1 to {@code serverCount} of equal weight. */
    static int topRank(long key, int serverCount) {
        int best = 0;
        double bestScore = -1;
        for (int id = 1; id <= serverCount; id++) {
            double score = CarpHash.score(CarpHash.keyHash(key), CarpHash.memberHash(id), 1);
            if (score > bestScore) {
                best = id;
                bestScore = score;
            }
        }
        return best;
    }
}
