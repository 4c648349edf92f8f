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
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.routes.KeyHash;
import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.RouteExplanation;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** Translates a pool's configuration into the settings and endpoints of its policy. */
public final class PoolSettings {
    /** Longest time between two polls of discovery. */
    private static final double MAX_POLL_AGE_MS = 10_000;
    /** Value of a request of a tenant that is over its quota, as a fraction of the value of a request within it. */
    private static final double OVER_QUOTA_VALUE_FRACTION = 0.1;

    private static final double RESPONSE_GRACE_MS = 20;
    /** Stands for the absence of a kind. */
    private static final int NO_KIND = -1;

    /**
     * Kinds of siblings and of the origin; the leading NUL keeps them distinct from kinds in the configuration file.
     */
    private static final String SIBLING_KIND = "\0sibling";

    private static final String ORIGIN_KIND = "\0origin";

    private PoolSettings() {}

    /** Returns the servers of a pool, with its origin last. */
    public static List<ServerConfig> allServers(PoolConfig pool) {
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
            kinds.add(SIBLING_KIND);
        }
        if (pool.origin() != null) {
            kinds.add(ORIGIN_KIND);
        }
        return kinds;
    }

    /** Returns this proxy's zone and the zones of the pool's servers; no other zones matter to the pool. */
    private static List<String> zones(DaemonConfig file, PoolConfig pool) {
        if (pool.discovery() != null) {
            return pool.discovery().zones();
        }
        return Stream.concat(
                        Stream.of(file.site().zone()), allServers(pool).stream().map(ServerConfig::zone))
                .distinct()
                .toList();
    }

    /** Returns the settings of the pool's policy. */
    static PolicySettings of(DaemonConfig file, PoolConfig pool) {
        SiteConfig site = file.site();
        ProcessLimitsConfig limits = file.limits();
        List<String> zones = zones(file, pool);
        return PolicySettings.builder()
                .instanceIndex(site.proxyIndex())
                .instanceCount(site.proxyCount())
                .zone(Math.max(0, zones.indexOf(site.zone())))
                .zoneCount(zones.size())
                .kindCount(kinds(pool).size())
                .pollsDiscovery(pool.discovery() != null)
                .cacheAside(hasOrigin(pool))
                .originKind(originKind(pool))
                .overQuotaValueFraction(file.tenants().size() > 1 ? OVER_QUOTA_VALUE_FRACTION : 1)
                .cancellationAllowed(true)
                .probingAllowed(probesServers(file))
                .hedgingAllowed(limits.hedging())
                .retryAfterAllowed(true)
                .maxAttempts(limits.maxAttempts())
                .maxRetryAfterMs(limits.maxRetryAfterMs())
                .connectTimeoutMs(limits.connectTimeoutMs())
                .drainGraceMs(site.drainGraceMs())
                .responseGraceMs(RESPONSE_GRACE_MS)
                .initialCapacityFraction(site.startCapacity())
                .warmUpMs(site.warmUpMs())
                .collapseLoadMultiple(site.tipMultiple())
                .collapseAfterMs(site.fallMs())
                .maxPollAgeMs(MAX_POLL_AGE_MS)
                .classes(file.classes())
                .tenants(file.tenants())
                .build();
    }

    private static boolean hasOrigin(PoolConfig pool) {
        return pool.discovery() == null
                ? pool.origin() != null
                : pool.discovery().originKind() != null;
    }

    /** Returns the index of the origin's kind among the pool's kinds; {@link #NO_KIND} if the pool has no origin. */
    private static int originKind(PoolConfig pool) {
        if (!hasOrigin(pool)) {
            return NO_KIND;
        }
        List<String> kinds = kinds(pool);
        return pool.discovery() == null
                ? kinds.size() - 1
                : kinds.indexOf(pool.discovery().originKind());
    }

    /** Returns whether ejected servers are probed by health checks; otherwise they are tried with clients' requests. */
    private static boolean probesServers(DaemonConfig file) {
        FleetConfig fleet = file.section(FleetConfig.class);
        return fleet != null
                && fleet.healthCheck() != null
                && !fleet.healthCheck().byClientRequests();
    }

    /** Returns the policy's endpoint for a server; {@code startMs} is 0 if it started long ago. */
    static Endpoint endpointOf(DaemonConfig file, PoolConfig pool, ServerConfig server, double startMs) {
        boolean origin = server.equals(pool.origin());
        List<String> kinds = kinds(pool);
        return new Endpoint(
                server.id(),
                zones(file, pool).indexOf(server.zone()),
                origin ? kinds.size() - 1 : kinds.indexOf(server.kind()),
                0,
                server.drain() ? EndpointState.DRAINING : EndpointState.READY,
                (float) server.weight(),
                startMs);
    }

    /** Returns the policy's endpoint for a sibling. */
    static Endpoint siblingEndpoint(PoolConfig pool, SiblingConfig sibling) {
        return new Endpoint(sibling.id(), 0, kinds(pool).indexOf(SIBLING_KIND), 0, EndpointState.READY, 1, 0);
    }

    /** Returns the placement that is configured for the pool. */
    static PlacementFactory placement(PoolConfig pool) {
        return PlacementRegistry.factory(
                pool.placement(),
                pool.servers().stream()
                        .map(server -> new PlacementTarget(server.id(), (int) server.weight(), server.ring()))
                        .toList());
    }

    /** Returns the hash function by which the pool's placement chooses the servers of a request. */
    static KeyHash keyHash(PoolConfig pool) {
        boolean carp = pool.placement().equals(PlacementRegistry.CARP);
        PlacementTemplate poolTemplate = pool.placeBy() == null ? PlacementTemplate.KEY : pool.placeBy();
        return (input, route, poolKey) -> {
            PlacementTemplate template = route.placeBy() == null ? poolTemplate : route.placeBy();
            if (carp) {
                return RequestValidator.keyHash(
                        template.equals(PlacementTemplate.KEY)
                                ? poolKey
                                : new String(template.hashInput(input, route, poolKey), StandardCharsets.ISO_8859_1));
            }
            byte[] text = template.hashInput(input, route, poolKey);
            // For an empty text nginx uses round robin; hashing the key spreads such requests as well.
            return PlacementKey.fromText(text.length > 0 ? text : poolKey.getBytes(StandardCharsets.ISO_8859_1));
        };
    }

    /** Returns a description of all settings that the hashes of a pool's keys depend on. */
    public static String keyScheme(DaemonConfig file, PoolConfig pool) {
        return pool.placement() + " by " + (pool.placeBy() == null ? PlacementTemplate.KEY : pool.placeBy()) + ", keys "
                + file.keys();
    }

    /** Returns the explanation of a configuration's routes and pools for the command {@code explain}. */
    static RouteExplanation explain(DaemonConfig file) {
        Map<String, RouteExplanation.PoolView> views = new LinkedHashMap<>();
        for (PoolConfig pool : file.pools().values()) {
            List<Endpoint> ready = new ArrayList<>();
            Map<Integer, String> names = new HashMap<>();
            Set<Integer> backups = new HashSet<>();
            for (ServerConfig server : pool.servers()) {
                names.put(server.id(), server.name());
                if (server.backup()) {
                    backups.add(server.id());
                }
                if (!server.down() && !server.drain()) {
                    ready.add(endpointOf(file, pool, server, 0));
                }
            }
            ready.sort((first, second) -> Integer.compareUnsigned(first.id(), second.id()));
            views.put(
                    pool.name(),
                    new RouteExplanation.PoolView(
                            ready,
                            names,
                            BackupPlacement.withBackups(placement(pool), backups::contains)
                                    .create(ready),
                            keyHash(pool),
                            pool.origin() == null ? null : pool.origin().name(),
                            pool.discovery() == null,
                            file.fallbackChain(List.of(pool.name()))));
        }
        return new RouteExplanation(file.routes(), views);
    }
}
