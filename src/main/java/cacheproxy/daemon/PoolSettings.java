package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.config.ProcessLimitsConfig;
import cacheproxy.config.ServerConfig;
import cacheproxy.config.SiblingConfig;
import cacheproxy.config.SiteConfig;
import cacheproxy.placement.BackupPlacement;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.placement.PlacementKey;
import cacheproxy.placement.PlacementRegistry;
import cacheproxy.placement.PlacementTarget;
import cacheproxy.policy.PolicyApi.Member;
import cacheproxy.policy.PolicyApi.Reports;
import cacheproxy.policy.PolicyApi.Settings;
import cacheproxy.policy.PolicyApi.State;
import cacheproxy.proxy.RequestValidator;
import cacheproxy.routes.Explain;
import cacheproxy.routes.KeyHash;
import cacheproxy.routes.PlacementTemplate;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** A pool of the file in the terms of the decision module. */
public final class PoolSettings {
    /** A proxy that has not asked discovery for so long asks. */
    private static final double ASK_WITHIN_MS = 10_000;

    private PoolSettings() {}

    /** All servers of a pool, its origin last. */
    public static List<ServerConfig> all(PoolConfig pool) {
        List<ServerConfig> all = new ArrayList<>(pool.servers());
        if (pool.origin() != null) {
            all.add(pool.origin());
        }
        return all;
    }

    private static List<String> kinds(PoolConfig pool) {
        if (pool.discovery() != null) {
            return pool.discovery().kinds();
        }
        List<String> kinds = new ArrayList<>(
                pool.servers().stream().map(ServerConfig::kind).distinct().toList());
        if (!pool.siblings().isEmpty()) {
            kinds.add("\0sibling");
        }
        if (pool.origin() != null) {
            kinds.add("\0origin"); // a kind of its own, whatever the file calls its servers
        }
        return kinds;
    }

    /** Ours and those of its servers: a zone that another pool has says nothing to this one. */
    private static List<String> zones(DaemonConfig file, PoolConfig pool) {
        if (pool.discovery() != null) {
            return pool.discovery().zones();
        }
        return Stream.concat(Stream.of(file.site().zone()), all(pool).stream().map(ServerConfig::zone))
                .distinct()
                .toList();
    }

    static Settings of(DaemonConfig file, PoolConfig pool) {
        SiteConfig site = file.site();
        ProcessLimitsConfig limits = file.limits();
        boolean listed = pool.discovery() == null;
        List<String> kinds = kinds(pool);
        List<String> zones = zones(file, pool);
        boolean aside = listed ? pool.origin() != null : pool.discovery().originKind() != null;
        FleetConfig fleet = file.section(FleetConfig.class);
        boolean probes = fleet != null
                && fleet.healthCheck() != null
                && !fleet.healthCheck().byClientRequests(); // else clients' requests try what was sick
        int originKind = !aside
                ? -1
                : listed ? kinds.size() - 1 : kinds.indexOf(pool.discovery().originKind());
        return new Settings(
                site.proxyIndex(),
                site.proxyCount(),
                Math.max(0, zones.indexOf(site.zone())),
                zones.size(),
                kinds.size(),
                !listed,
                aside,
                originKind,
                Reports.NONE,
                List.of(),
                false,
                file.tenants().size() > 1 ? 0.1 : 1,
                true,
                probes,
                false,
                limits.hedging(),
                true,
                limits.maxAttempts(),
                limits.maxRetryAfterMs(),
                limits.connectTimeoutMs(),
                site.drainGraceMs(),
                20,
                site.startCapacity(),
                site.warmUpMs(),
                site.tipMultiple(),
                site.fallMs(),
                ASK_WITHIN_MS,
                0,
                0,
                file.classes(),
                file.tenants());
    }

    static Member member(DaemonConfig file, PoolConfig pool, ServerConfig s, double bornMs) {
        boolean origin = s == pool.origin();
        List<String> kinds = kinds(pool);
        return new Member(
                s.id(),
                zones(file, pool).indexOf(s.zone()),
                origin ? kinds.size() - 1 : kinds.indexOf(s.kind()),
                0,
                s.drain() ? State.DRAINING : State.READY,
                (float) s.weight(),
                bornMs);
    }

    /** A sibling as the module gets it. */
    static Member sibling(PoolConfig pool, SiblingConfig s) {
        return new Member(s.id(), 0, kinds(pool).indexOf("\0sibling"), 0, State.READY, 1, 0);
    }

    static PlacementFactory placement(PoolConfig pool) {
        return PlacementRegistry.factory(
                pool.placement(),
                pool.servers().stream()
                        .map(s -> new PlacementTarget(s.id(), (int) s.weight(), s.ring()))
                        .toList());
    }

    /** How the pool's module knows a request. */
    static KeyHash number(PoolConfig pool) {
        boolean carp = pool.placement().equals(PlacementRegistry.CARP);
        PlacementTemplate own = pool.placeBy() == null ? PlacementTemplate.KEY : pool.placeBy();
        return (s, route, poolKey) -> {
            PlacementTemplate by = route.placeBy() == null ? own : route.placeBy();
            if (carp) {
                return RequestValidator.keyNumber(
                        by.equals(PlacementTemplate.KEY)
                                ? poolKey
                                : new String(by.bytes(s, route, poolKey), StandardCharsets.ISO_8859_1));
            }
            byte[] text = by.bytes(s, route, poolKey);
            // Where it is empty nginx goes round; one server for all such requests would be worse than the key's own.
            return PlacementKey.fromText(text.length > 0 ? text : poolKey.getBytes(StandardCharsets.ISO_8859_1));
        };
    }

    /** What the numbers of a pool's keys depend on. */
    public static String keyScheme(DaemonConfig file, PoolConfig pool) {
        return pool.placement() + " by " + (pool.placeBy() == null ? PlacementTemplate.KEY : pool.placeBy()) + ", keys "
                + file.keys();
    }

    /** The file's pools for {@code explain}. */
    static Explain explain(DaemonConfig file) {
        Map<String, Explain.PoolView> views = new LinkedHashMap<>();
        for (PoolConfig p : file.pools().values()) {
            List<Member> ready = new ArrayList<>();
            Map<Integer, String> names = new HashMap<>();
            Set<Integer> backups = new HashSet<>();
            for (ServerConfig s : p.servers()) {
                names.put(s.id(), s.name());
                if (s.backup()) {
                    backups.add(s.id());
                }
                if (!s.down() && !s.drain()) {
                    ready.add(member(file, p, s, 0));
                }
            }
            ready.sort((a, b) -> Integer.compareUnsigned(a.id(), b.id()));
            views.put(
                    p.name(),
                    new Explain.PoolView(
                            ready,
                            names,
                            BackupPlacement.withBackups(placement(p), backups::contains)
                                    .create(ready),
                            number(p),
                            p.origin() == null ? null : p.origin().name(),
                            p.discovery() == null,
                            file.fallbackChain(List.of(p.name()))));
        }
        return new Explain(file.routes(), views);
    }
}
