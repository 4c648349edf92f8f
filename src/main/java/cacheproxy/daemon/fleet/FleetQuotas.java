package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.config.LimitsConfig;
import cacheproxy.control.ControlEndpoints.Answer;
import cacheproxy.fleet.quota.LocalQuota;
import cacheproxy.fleet.quota.OvershootBound;
import cacheproxy.fleet.quota.QuotaManager;
import cacheproxy.fleet.quota.QuotaMessage;
import cacheproxy.fleet.quota.QuotaSpec;
import cacheproxy.fleet.quota.QuotaStatus;
import cacheproxy.fleet.quota.QuotaTiming;
import cacheproxy.proxy.ClientRequest;
import cacheproxy.proxy.EventLoopContext;
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
 * The fleet's limits at this proxy: carries what {@link QuotaManager} decides between requests and peers, and tells
 * operators. On the event loop only.
 */
public final class FleetQuotas implements FleetProtocol {
    static final byte TOPIC = 5;
    private static final LocalQuota[] NONE = {};
    /** Spent and refused are told over so long. */
    private static final double COUNT_MS = 1000;

    private final EventLoopContext core;
    private final PeerLink link;
    private final SplittableRandom random;
    private final LongPredicate likely;
    private final double startMs;
    /** Null while the file has none. */
    private QuotaManager quota;

    private QuotaTiming rules;
    private int proxies;
    /** By pool, "" for what concerns all: by class and tenant. */
    private final Map<String, LocalQuota[][]> pockets = new HashMap<>();

    private final Map<String, String> scopes = new HashMap<>();
    private int tenants = 1;
    private boolean hurrying;
    private double dueMs = Double.POSITIVE_INFINITY;
    private double countedMs = Double.NEGATIVE_INFINITY;
    private final Map<String, long[]> counted = new HashMap<>();
    private final Map<String, Double> alone = new LinkedHashMap<>();

    /** @param likely whether a peer may be alive */
    FleetQuotas(FleetContext context, SplittableRandom random, LongPredicate likely) {
        this.likely = likely;
        this.core = context.core();
        this.link = context.link();
        this.random = random;
        startMs = core.now();
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    @Override
    public void apply(DaemonConfig file, double now) {
        FleetConfig fleet = file.part(FleetConfig.class);
        LimitsConfig spec = fleet.limits();
        pockets.clear();
        scopes.clear();
        if (spec.limits().isEmpty()) {
            quota = null;
            return;
        }
        QuotaTiming figures = new QuotaTiming(spec.grantMs(), cacheproxy.fleet.lease.LeaseTiming.MAX_CLOCK_DRIFT);
        if (quota == null || figures.grantMs() != rules.grantMs()) {
            // Other times: what was lent by the old ones is over once the longer of them is, so it begins in silence.
            double from = rules == null ? startMs : now + Math.max(0, rules.grantMs() - figures.grantMs()) * 4;
            rules = figures;
            quota = new QuotaManager(
                    link.ownId(), rules, random.split(), from, likely, (to, m) -> link.send(to, this, m.encode()));
        }
        boolean changing = fleet.peers().stream().anyMatch(p -> p.joining() || p.leaving());
        boolean owns = fleet.peers().stream()
                .anyMatch(p ->
                        cacheproxy.fleet.lease.NameHash.of(p.name()) == link.ownId() && !p.joining() && !p.leaving());
        proxies = fleet.peers().size();
        Map<LimitsConfig.Limit, List<String>> names = new LinkedHashMap<>();
        List<QuotaSpec> limits = new ArrayList<>();
        spec.limits().forEach(l -> names.put(l, new ArrayList<>()));
        names.forEach((l, own) -> {
            if ("*".equals(l.tenant()) && !file.tenants().isEmpty()) {
                file.tenants().forEach(t -> own.add(l.name() + ":" + t.name()));
            } else {
                own.add(l.name());
            }
            own.forEach(name -> {
                limits.add(limit(name, l, spec));
                scopes.put(name, l.scope());
            });
        });
        quota.configure(
                limits,
                spec.duties().stream().map(link::lease).toList(),
                fleet.peers().stream()
                        .map(p -> cacheproxy.fleet.lease.NameHash.of(p.name()))
                        .toList(),
                proxies,
                changing,
                owns,
                now);
        tenants = Math.max(1, file.tenants().size());
        names.forEach((l, own) -> {
            LocalQuota[][] table = pockets.computeIfAbsent(l.pool() == null ? "" : l.pool(), k -> table(file));
            for (int c = 0; c < file.classes().size(); c++) {
                for (int t = 0; t < tenants; t++) {
                    boolean mine = (l.serviceClass() == null || file.classIndex(l.serviceClass()) == c)
                            && (l.tenant() == null || l.tenant().equals("*") || file.tenantIndex(l.tenant()) == t);
                    if (mine) {
                        LocalQuota[] before = table[c * tenants + t];
                        LocalQuota[] more = java.util.Arrays.copyOf(before, before.length + 1);
                        more[before.length] = quota.localQuota(own.get(own.size() > 1 ? t : 0));
                        table[c * tenants + t] = more;
                    }
                }
            }
        });
    }

    private LocalQuota[][] table(DaemonConfig file) {
        LocalQuota[][] table = new LocalQuota[file.classes().size() * tenants][];
        java.util.Arrays.fill(table, NONE);
        return table;
    }

    private static QuotaSpec limit(String name, LimitsConfig.Limit l, LimitsConfig spec) {
        boolean atOnce = l.atOnce() > 0;
        return new QuotaSpec(
                name,
                atOnce,
                atOnce ? l.atOnce() : l.perSecond(),
                atOnce ? 0 : l.burst(),
                QuotaSpec.IsolationPolicy.valueOf(l.whenAlone().toUpperCase(Locale.ROOT)),
                l.sharePart(),
                atOnce ? spec.holdMs() : 0);
    }

    // ---- requests

    /**
     * What a request takes from; empty where no limit concerns it. @param pool "" for the limits that concern all pools
     */
    public LocalQuota[] of(String pool, ClientRequest c) {
        LocalQuota[][] table = pockets.get(pool);
        int at = table == null ? 0 : c.serviceClass() * tenants + c.tenant();
        return table == null || at >= table.length ? NONE : table[at];
    }

    /** 0: one more may be taken of each; else milliseconds until it is worth coming again. */
    public double ask(LocalQuota[] of, double now) {
        double wait = 0;
        boolean hurry = false;
        for (LocalQuota p : of) {
            double own = p.requestWaitMs(now);
            wait = Math.max(wait, own);
            hurry |= own > 0 && quota != null && quota.requestSoon(p, now);
        }
        if (hurry && !hurrying) {
            hurrying = true;
            core.loop().execute(() -> {
                hurrying = false;
                soon(core.now());
            });
        }
        return wait;
    }

    /** Does what is due at once, and asks for the time of what is due before the part's own next look. */
    private void soon(double now) {
        if (quota == null) {
            return;
        }
        double next = quota.tick(now);
        if (next < dueMs || dueMs <= now) {
            dueMs = next;
            core.after(Math.max(1, next - now), () -> {
                if (core.now() >= dueMs - 0.5) {
                    dueMs = Double.POSITIVE_INFINITY;
                    if (quota != null) {
                        quota.tick(core.now());
                    }
                }
            });
        }
    }

    @Override
    public void receive(double now, long from, byte[] payload) {
        QuotaMessage m = QuotaMessage.decode(payload);
        if (quota != null && m != null) {
            quota.receive(now, from, m);
            soon(now);
        }
    }

    @Override
    public double tick(double now) {
        if (quota == null) {
            return Double.POSITIVE_INFINITY;
        }
        if (now - countedMs >= COUNT_MS) {
            count(now);
        }
        return quota.tick(now);
    }

    // ---- operators

    private void count(double now) {
        double seconds = Math.min(10, (now - countedMs) / 1000);
        countedMs = now;
        for (QuotaStatus s : quota.statuses(now)) {
            long[] c = counted.computeIfAbsent(s.spec().name(), k -> new long[4]);
            c[2] = Math.round((s.consumed() - c[0]) / seconds);
            c[3] = Math.round((s.rejected() - c[1]) / seconds);
            c[0] = s.consumed();
            c[1] = s.rejected();
            boolean isAlone = !Double.isNaN(s.isolatedSinceMs());
            Double since = alone.get(s.spec().name());
            if (isAlone && since == null) {
                alone.put(s.spec().name(), s.isolatedSinceMs());
                core.log("limit " + s.spec().name() + " alone: no proxy answers; this one spends "
                        + String.format(Locale.ROOT, "%.1f", s.capacity())
                        + (s.spec().concurrent() ? " at once" : " a second"));
            } else if (!isAlone && since != null) {
                alone.remove(s.spec().name());
                core.log("limit " + s.spec().name() + " no longer alone after " + Math.round(now - since) + " ms");
            }
        }
        counted.keySet().retainAll(scopes.keySet());
    }

    Answer handle(String method, String uri) {
        if (!method.equals("GET")) {
            return new Answer(405, "use GET /limits", "GET");
        }
        JsonArray list = new JsonArray();
        double now = core.now();
        if (quota != null) {
            quota.statuses(now).forEach(s -> list.add(json(s, now)));
        }
        return new Answer(200, list.toString());
    }

    private JsonObject json(QuotaStatus s, double now) {
        QuotaSpec l = s.spec();
        long[] c = counted.getOrDefault(l.name(), new long[4]);
        JsonObject o = new JsonObject();
        o.addProperty("name", l.name());
        o.addProperty("scope", scopes.get(l.name()));
        o.addProperty("kind", l.concurrent() ? "at_once" : "per_second");
        o.addProperty("limit", l.amount());
        o.addProperty("mine", round(s.capacity()));
        o.addProperty("own", round(s.owned()));
        o.addProperty("lent", round(s.donated()));
        o.addProperty("used", l.concurrent() ? s.inUse() : c[2]);
        o.addProperty("waiting", c[3]);
        if (!Double.isNaN(s.isolatedSinceMs())) {
            o.addProperty("alone_since_ms", Math.round(now - s.isolatedSinceMs()));
        }
        o.addProperty("over_bound", round(OvershootBound.maxOvershoot(l, rules, proxies, 1000)));
        o.addProperty("idle_bound_one_gone", round(OvershootBound.maxIdleFraction(l, proxies, 1)));
        return o;
    }

    private static double round(double x) {
        return Math.round(x * 100) / 100.0;
    }

    @Override
    public void describe(JsonObject state) {
        if (quota != null) {
            state.addProperty("limits", scopes.size());
            state.addProperty("grants_of_older_epochs", quota.staleGrants());
        }
    }
}
