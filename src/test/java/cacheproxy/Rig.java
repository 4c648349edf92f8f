package cacheproxy;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.AttemptResult;
import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.LoadReportSource;
import cacheproxy.policy.PolicyActions;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.RoutingPolicy;
import cacheproxy.policy.RoutingRequest;
import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One instance with its orders written down; time is a field the tests move. */
public final class Rig implements PolicyActions {
    public static final int ORIGIN = 9000;
    public static final int SAFE = 0;
    public static final int KEYED = 1;
    public static final int UNSAFE = 2;

    /** A place order. */
    public record Placed(int request, int attempt, int server, double timeoutMs) {}

    /** A timer order. */
    record Timer(double at, int token) {}

    public final List<Placed> placed = new ArrayList<>();
    public final List<Integer> denied = new ArrayList<>();
    /** Times to come back that the refusals told, in milliseconds. */
    public final List<Double> waits = new ArrayList<>();

    public final List<Integer> failed = new ArrayList<>();
    public final List<String> cancelled = new ArrayList<>();
    final List<Integer> asked = new ArrayList<>();
    public final List<Integer> probed = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();
    public final List<String> orders = new ArrayList<>();
    final Map<Integer, Integer> attempts = new HashMap<>();
    public final RoutingPolicy policy;
    public int watches;
    public double now = 1000;

    public Rig(PolicySettings settings) {
        this(settings, new RoutingPolicy(settings, 42));
    }

    public Rig(PolicySettings settings, RoutingPolicy policy) {
        this.policy = policy;
    }

    public static PolicySettings settings(boolean aside, boolean ask, boolean copies, DeduplicationScope group) {
        return settings(aside, ask, copies, group, List.of(new Tenant("a", 1, 100)));
    }

    /** Two tenants with these quotas; what they send over them is worth a tenth. */
    public static PolicySettings tenants(double first, double second) {
        return settings(
                true,
                false,
                false,
                DeduplicationScope.ALL,
                List.of(new Tenant("a", 0.5, first), new Tenant("b", 0.5, second)));
    }

    private static PolicySettings settings(
            boolean aside, boolean ask, boolean copies, DeduplicationScope group, List<Tenant> tenants) {
        List<ServiceClass> classes = List.of(
                new ServiceClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false),
                new ServiceClass("save", Idempotency.DEDUPLICATED, group, 400, 300, 1000, 1, 0.2, false),
                new ServiceClass(
                        "pay", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false));
        return new PolicySettings(
                0,
                4,
                0,
                2,
                2,
                ask,
                aside,
                aside ? 1 : -1,
                LoadReportSource.NONE,
                List.of(),
                false,
                0.1,
                true,
                true,
                false,
                copies,
                true,
                3,
                500,
                100,
                500,
                20,
                0.3,
                8000,
                3,
                2000,
                ask ? 10000 : 0,
                0,
                0,
                classes,
                tenants);
    }

    /** The same, where servers may not be probed. */
    public static PolicySettings withoutProbes(PolicySettings s) {
        return new PolicySettings(
                s.instanceIndex(),
                s.instanceCount(),
                s.zone(),
                s.zoneCount(),
                s.kindCount(),
                s.pollsDiscovery(),
                s.cacheAside(),
                s.originKind(),
                s.loadReportSource(),
                s.loadReportFields(),
                s.valueByWork(),
                s.overQuotaValueFraction(),
                s.cancellationAllowed(),
                false,
                s.peerMessagesAllowed(),
                s.hedgingAllowed(),
                s.retryAfterAllowed(),
                s.maxAttempts(),
                s.maxRetryAfterMs(),
                s.connectTimeoutMs(),
                s.drainGraceMs(),
                s.responseGraceMs(),
                s.initialCapacityFraction(),
                s.warmUpMs(),
                s.collapseLoadMultiple(),
                s.collapseAfterMs(),
                s.maxPollAgeMs(),
                s.originCollapseLoadMultiple(),
                s.originCollapseAfterMs(),
                s.classes(),
                s.tenants());
    }

    /** Aside mode, list pushed, no second copies: the ordinary case. */
    public static Rig aside() {
        return new Rig(settings(true, false, false, DeduplicationScope.ALL));
    }

    public static Endpoint member(int id, EndpointState state, double born) {
        return new Endpoint(id, id % 2, id == ORIGIN ? 1 : 0, id / 4, state, 1, born);
    }

    /** Servers 1 to n, and the origin, all ready for long. */
    public Rig fleet(int n) {
        List<Endpoint> list = new ArrayList<>();
        list.add(member(ORIGIN, EndpointState.READY, 0));
        for (int id = 1; id <= n; id++) {
            list.add(member(id, EndpointState.READY, 0));
        }
        policy.onEndpointList(now, EndpointListKind.CACHED, list, this);
        return this;
    }

    public void change(Endpoint... members) {
        policy.onEndpointList(now, EndpointListKind.CHANGES, List.of(members), this);
    }

    public void read(int id, long key) {
        policy.onRequest(now, new RoutingRequest(id, SAFE, 0, key, now + 1000, Double.NaN, 0, false, false), this);
    }

    public void write(int id, int serviceClass) {
        policy.onRequest(now, new RoutingRequest(id, serviceClass, 0, 7, now + 1000, Double.NaN, 0, true, false), this);
    }

    public Placed last() {
        return placed.get(placed.size() - 1);
    }

    public void end(Placed p, AttemptOutcome outcome) {
        end(p, outcome, outcome == AttemptOutcome.OK, 0);
    }

    public void end(Placed p, AttemptOutcome outcome, boolean over, int note) {
        policy.onAttemptEnd(
                now, new AttemptResult(p.request(), p.attempt(), p.server(), outcome, 10, over, note, null), this);
    }

    /** Ends an attempt with its final answer after so long. */
    public void endAfter(Placed p, AttemptOutcome outcome, double elapsedMs) {
        policy.onAttemptEnd(
                now, new AttemptResult(p.request(), p.attempt(), p.server(), outcome, elapsedMs, true, 0, null), this);
    }

    /** Moves time on, firing the timers that come due, in order. */
    public void pass(double ms) {
        double until = now + ms;
        while (true) {
            Timer next = null;
            for (Timer t : timers) {
                if (t.at() <= until && (next == null || t.at() < next.at())) {
                    next = t;
                }
            }
            if (next == null) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next.at());
            policy.onTimer(now, next.token(), this);
        }
        now = until;
    }

    public int answers() {
        return denied.size() + failed.size();
    }

    @Override
    public void sendAttempt(int request, int server, double timeoutMs) {
        int a = attempts.merge(request, 1, Integer::sum) - 1;
        placed.add(new Placed(request, a, server, timeoutMs));
        orders.add("place " + request + " " + server + " " + timeoutMs);
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        denied.add(request);
        waits.add(retryAfterMs);
        orders.add("deny " + request);
    }

    @Override
    public void fail(int request) {
        failed.add(request);
        orders.add("fail " + request);
    }

    @Override
    public void cancelAttempt(int request, int attempt) {
        cancelled.add(request + "/" + attempt);
        orders.add("cancel " + request + "/" + attempt);
    }

    @Override
    public void setTimer(double afterMs, int token) {
        timers.add(new Timer(now + afterMs, token));
        orders.add("timer " + afterMs + " " + token);
    }

    @Override
    public void querySiblings(int request, double waitMs) {
        asked.add(request);
        orders.add("ask " + request + " " + waitMs);
    }

    @Override
    public void probeServer(int server) {
        probed.add(server);
        orders.add("probe " + server);
    }

    @Override
    public void closeIdleConnections(int server) {
        orders.add("close " + server);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        orders.add("tell " + peer);
    }

    @Override
    public void watchEndpointList(boolean on) {
        watches++;
        orders.add("watch " + on);
    }

    @Override
    public void fetchEndpointList() {
        orders.add("fetch list");
    }

    @Override
    public void log(String line) {
        orders.add("log " + line);
    }
}
