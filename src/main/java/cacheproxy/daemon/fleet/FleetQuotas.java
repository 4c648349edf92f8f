package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.config.QuotaConfig;
import cacheproxy.config.QuotasConfig;
import cacheproxy.control.ControlResponse;
import cacheproxy.fleet.lease.LeaseTiming;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.quota.LocalQuota;
import cacheproxy.fleet.quota.OvershootBound;
import cacheproxy.fleet.quota.QuotaManager;
import cacheproxy.fleet.quota.QuotaMessage;
import cacheproxy.fleet.quota.QuotaSpec;
import cacheproxy.fleet.quota.QuotaStatus;
import cacheproxy.fleet.quota.QuotaTiming;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.upstream.EventLoopContext;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;

/**
 * The fleet-wide quotas at this proxy: applies the decisions of {@link QuotaManager} to requests, and connects it with
 * peers and operators. On the event loop only.
 */
public final class FleetQuotas implements FleetProtocol {
    static final byte TOPIC = 5;
    private static final LocalQuota[] NO_QUOTAS = {};
    private static final int OK = 200;
    private static final int METHOD_NOT_ALLOWED = 405;
    /** The interval over which usage is measured. */
    private static final double MEASURE_INTERVAL_MS = 1000;
    /** The period for which operators see the bound on how much all proxies together can exceed a quota. */
    private static final double OVERSHOOT_SPAN_MS = 1000;
    /** Number of grant times after which donations under a former grant time have expired. */
    private static final double SILENCE_GRANT_TIMES = 4;
    /** How early a timer may fire. */
    private static final double TIMER_TOLERANCE_MS = 0.5;

    private static final double MIN_DELAY_MS = 1;

    private final EventLoopContext core;
    private final PeerLink link;
    private final SplittableRandom random;
    private final LongPredicate isLikelyAlive;
    private final double startedMs;
    private final QuotaUsageMonitor usage;
    /** Null if the configuration has no quotas. */
    private QuotaManager manager;

    private QuotaTiming timing;
    private int proxyCount;
    private QuotaTable table;
    /** Descriptions of what each quota applies to, by the quota's name. */
    private final Map<String, String> scopes = new HashMap<>();

    private boolean earlyTickScheduled;
    private double dueMs = Double.POSITIVE_INFINITY;

    /** @param isLikelyAlive returns whether a peer may be alive */
    FleetQuotas(FleetContext context, SplittableRandom random, LongPredicate isLikelyAlive) {
        this.isLikelyAlive = isLikelyAlive;
        this.core = context.core();
        this.link = context.link();
        this.random = random;
        startedMs = core.nowMs();
        usage = new QuotaUsageMonitor(core::log);
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    @Override
    public void apply(DaemonConfig file, double nowMs) {
        FleetConfig fleet = file.section(FleetConfig.class);
        QuotasConfig config = fleet.quotas();
        table = null;
        scopes.clear();
        if (config.quotas().isEmpty()) {
            manager = null;
            return;
        }
        useTiming(config, nowMs);
        proxyCount = fleet.peers().size();
        Map<QuotaConfig, List<String>> names = new LinkedHashMap<>();
        List<QuotaSpec> specs = new ArrayList<>();
        for (QuotaConfig limit : config.quotas()) {
            names.put(limit, QuotaTable.namesOf(limit, file));
        }
        names.forEach((limit, quotaNames) -> quotaNames.forEach(name -> {
            specs.add(specOf(name, limit, config));
            scopes.put(name, limit.scope());
        }));
        configureManager(fleet, specs, nowMs);
        table = new QuotaTable(file);
        names.forEach((limit, quotaNames) -> table.add(limit, quotaNames, manager::localQuota));
    }

    private void useTiming(QuotasConfig config, double nowMs) {
        QuotaTiming wanted = new QuotaTiming(config.grantTtlMs(), LeaseTiming.MAX_CLOCK_DRIFT);
        if (manager != null && wanted.grantMs() == timing.grantMs()) {
            return;
        }
        // Donations under a longer grant time have to expire first, so the new manager starts with a period of silence.
        double silentFromMs = timing == null
                ? startedMs
                : nowMs + Math.max(0, timing.grantMs() - wanted.grantMs()) * SILENCE_GRANT_TIMES;
        timing = wanted;
        manager = new QuotaManager(
                link.ownId(),
                timing,
                random.split(),
                silentFromMs,
                isLikelyAlive,
                (to, message) -> link.send(to, this, message.encode()));
    }

    private void configureManager(FleetConfig fleet, List<QuotaSpec> specs, double nowMs) {
        boolean listIsChanging = fleet.peers().stream().anyMatch(peer -> peer.joining() || peer.leaving());
        boolean ownsShare = fleet.peers().stream()
                .anyMatch(peer -> NameHash.of(peer.name()) == link.ownId() && !peer.joining() && !peer.leaving());
        manager.configure(
                specs,
                fleet.quotas().leaseNames().stream().map(link::lease).toList(),
                fleet.peers().stream().map(peer -> NameHash.of(peer.name())).toList(),
                proxyCount,
                listIsChanging,
                ownsShare,
                nowMs);
    }

    private static QuotaSpec specOf(String name, QuotaConfig limit, QuotasConfig config) {
        boolean concurrent = limit.maxInFlight() > 0;
        return new QuotaSpec(
                name,
                concurrent,
                concurrent ? limit.maxInFlight() : limit.perSecond(),
                concurrent ? 0 : limit.burst(),
                QuotaSpec.IsolationPolicy.valueOf(limit.whenIsolated().toUpperCase(Locale.ROOT)),
                limit.shareFraction(),
                concurrent ? config.maxHoldMs() : 0);
    }

    // ---- requests

    /**
     * Returns the quotas that apply to a request; empty if there are none.
     *
     * @param pool the pool of the request; the empty string for the quotas that apply to all pools
     */
    public LocalQuota[] quotasFor(String pool, ClientRequest request) {
        return table == null ? NO_QUOTAS : table.quotasFor(pool, request);
    }

    /** Returns the milliseconds after which a request should be retried; 0 if all its quotas admit it now. */
    public double requestWaitMs(LocalQuota[] quotas, double nowMs) {
        double longestMs = 0;
        boolean requestSoon = false;
        for (LocalQuota quota : quotas) {
            double waitMs = quota.admissionWaitMs(nowMs);
            longestMs = Math.max(longestMs, waitMs);
            requestSoon |= waitMs > 0 && manager != null && manager.requestSoon(quota, nowMs);
        }
        if (requestSoon && !earlyTickScheduled) {
            earlyTickScheduled = true;
            core.loop().execute(() -> {
                earlyTickScheduled = false;
                tickEarly(core.nowMs());
            });
        }
        return longestMs;
    }

    /** Does the work that is due, and schedules a timer for work that is due before the subsystem's next tick. */
    private void tickEarly(double nowMs) {
        if (manager == null) {
            return;
        }
        double nextMs = manager.tick(nowMs);
        if (nextMs < dueMs || dueMs <= nowMs) {
            dueMs = nextMs;
            core.after(Math.max(MIN_DELAY_MS, nextMs - nowMs), this::tickIfDue);
        }
    }

    private void tickIfDue() {
        if (core.nowMs() >= dueMs - TIMER_TOLERANCE_MS) {
            dueMs = Double.POSITIVE_INFINITY;
            if (manager != null) {
                manager.tick(core.nowMs());
            }
        }
    }

    @Override
    public void receive(double nowMs, long from, byte[] payload) {
        QuotaMessage message = QuotaMessage.decode(payload);
        if (manager != null && message != null) {
            manager.receive(nowMs, from, message);
            tickEarly(nowMs);
        }
    }

    @Override
    public double tick(double nowMs) {
        if (manager == null) {
            return Double.POSITIVE_INFINITY;
        }
        if (nowMs - usage.measuredMs() >= MEASURE_INTERVAL_MS) {
            usage.measure(manager.statuses(nowMs), scopes.keySet(), nowMs);
        }
        return manager.tick(nowMs);
    }

    // ---- operators

    /** Handles {@code GET /limits}. */
    ControlResponse handle(String method, String uri) {
        if (!method.equals("GET")) {
            return new ControlResponse(METHOD_NOT_ALLOWED, "use GET /limits", "GET");
        }
        JsonArray list = new JsonArray();
        double nowMs = core.nowMs();
        if (manager != null) {
            manager.statuses(nowMs).forEach(status -> list.add(asJson(status, nowMs)));
        }
        return new ControlResponse(OK, list.toString());
    }

    private JsonObject asJson(QuotaStatus status, double nowMs) {
        QuotaSpec spec = status.spec();
        String name = spec.name();
        JsonObject json = new JsonObject();
        json.addProperty("name", name);
        json.addProperty("scope", scopes.get(name));
        json.addProperty("kind", spec.concurrent() ? "at_once" : "per_second");
        json.addProperty("limit", spec.amount());
        json.addProperty("mine", round(status.capacity()));
        json.addProperty("own", round(status.owned()));
        json.addProperty("lent", round(status.donated()));
        json.addProperty("used", spec.concurrent() ? status.inUse() : usage.consumedPerSecond(name));
        json.addProperty("waiting", usage.rejectedPerSecond(name));
        if (!Double.isNaN(status.isolatedSinceMs())) {
            json.addProperty("alone_since_ms", Math.round(nowMs - status.isolatedSinceMs()));
        }
        json.addProperty("over_bound", round(OvershootBound.maxOvershoot(spec, timing, proxyCount, OVERSHOOT_SPAN_MS)));
        json.addProperty("idle_bound_one_gone", round(OvershootBound.maxIdleFraction(spec, proxyCount, 1)));
        return json;
    }

    /** Rounds to two decimals. */
    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }

    @Override
    public void describe(JsonObject state) {
        if (manager != null) {
            state.addProperty("limits", scopes.size());
            state.addProperty("grants_of_older_epochs", manager.staleGrants());
        }
    }
}
