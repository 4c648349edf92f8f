package cacheproxy.config;

import cacheproxy.policy.PolicyApi.ServiceClass;
import cacheproxy.policy.PolicyApi.Tenant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * {@code [fleet.limits]} and {@code [[fleet.limit]]}: what all proxies of a fleet together may spend.
 *
 * @param grantMs for how long what was granted may be spent, the same at all proxies
 * @param leaseMs of the duties under which limits are dealt out
 * @param shares duties among which limits are dealt, the same at all proxies
 * @param holdMs for so long a request may be in hand
 */
public record LimitsConfig(double grantMs, double leaseMs, int voters, int shares, double holdMs, List<Limit> limits) {
    /** Names of the duties begin so. */
    static final String DUTY = "limits.";

    private static final int MOST = 1000;
    /** A request is answered so much after its deadline, at the latest. */
    private static final double ANSWER_MS = 250;

    /**
     * One limit.
     *
     * @param pool null: all; else only what goes to it
     * @param tenant null: all together; {@code *}: each by itself
     * @param serviceClass null: all
     * @param perSecond 0: it bounds what is in hand
     * @param burst what may be saved up, for the whole fleet
     * @param atOnce 0: it bounds a rate
     * @param whenAlone {@code share}, {@code last} or {@code none}
     * @param sharePart the part of the limit that proxies own without a word of anybody, 0 to 1
     */
    public record Limit(
            String name,
            String pool,
            String tenant,
            String serviceClass,
            double perSecond,
            double burst,
            int atOnce,
            String whenAlone,
            double sharePart) {
        /** Whom it concerns, in words. */
        public String scope() {
            List<String> words = new ArrayList<>();
            if (pool != null) {
                words.add("pool " + pool);
            }
            if (tenant != null) {
                words.add("tenant " + tenant);
            }
            if (serviceClass != null) {
                words.add("class " + serviceClass);
            }
            return words.isEmpty() ? "all" : String.join(", ", words);
        }
    }

    public LimitsConfig {
        limits = List.copyOf(limits);
    }

    /** The duties under which limits are dealt out. */
    public List<String> duties() {
        return limits.isEmpty()
                ? List.of()
                : java.util.stream.IntStream.range(0, shares)
                        .mapToObj(i -> DUTY + i)
                        .toList();
    }

    static LimitsConfig read(TomlTableReader fleet, DaemonConfigReader.Known known, double longestLeaseMs) {
        TomlTableReader s = fleet.section("limits");
        double grant = s == null ? 1000 : s.number("grant_ms", 1000, 100, 60_000);
        double lease = s == null ? Math.min(1000, longestLeaseMs) : FleetConfig.lease(s, longestLeaseMs, 1000);
        int voters = s == null ? 5 : FleetConfig.voters(s);
        int shares = s == null ? 4 : s.integer("shares", 4, 1, 64);
        if (s != null) {
            s.end();
        }
        List<Limit> limits = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int expanded = 0;
        for (TomlTableReader l : fleet.sections("limit")) {
            Limit limit = limit(l, names, known);
            limits.add(limit);
            expanded += "*".equals(limit.tenant()) ? Math.max(1, known.tenants().size()) : 1;
            l.end();
        }
        if (expanded > MOST) {
            fleet.sections("limit")
                    .get(0)
                    .error("name", expanded + " limits, each tenant's own counted; at most " + MOST);
        }
        double longest = known.classes().stream()
                .mapToDouble(ServiceClass::deadlineMs)
                .max()
                .orElse(0);
        return new LimitsConfig(grant, lease, voters, shares, longest + ANSWER_MS, limits);
    }

    private static Limit limit(TomlTableReader s, Set<String> names, DaemonConfigReader.Known known) {
        String name = FleetConfig.name(s, names, "limit");
        String pool = among(s, "pool", known.pools().keySet());
        String tenant = s.text("tenant", null);
        if (!"*".equals(tenant)) {
            tenant = among(
                    s, "tenant", known.tenants().stream().map(Tenant::name).toList());
        }
        String serviceClass = among(
                s, "class", known.classes().stream().map(ServiceClass::name).toList());
        double perSecond = s.number("per_second", 0, 0.001, 1e7);
        int atOnce = s.integer("at_once", 0, 1, 1_000_000);
        if (perSecond > 0 == atOnce > 0) {
            s.error(perSecond > 0 ? "at_once" : "name", "a limit has either per_second or at_once");
        }
        double burst = s.number("burst", perSecond / 10, 0, 1e7);
        if (s.has("burst") && atOnce > 0) {
            s.error("burst", "burst goes with per_second; at_once has none");
        }
        String alone = s.oneOf("when_alone", "share", "share", "last", "none");
        double part = s.number("share_part", 1, 0, 1);
        if (s.has("share_part") && alone.equals("none")) {
            s.error("share_part", "with when_alone = \"none\" proxies own no share");
        }
        return new Limit(name, pool, tenant, serviceClass, perSecond, burst, atOnce, alone, part);
    }

    private static String among(TomlTableReader s, String key, java.util.Collection<String> all) {
        String text = s.text(key, null);
        if (text != null && !all.contains(text)) {
            s.error(
                    key,
                    "there is no " + key + " '" + text + "'; there are: "
                            + String.join(", ", new java.util.TreeSet<>(all)));
        }
        return text;
    }
}
