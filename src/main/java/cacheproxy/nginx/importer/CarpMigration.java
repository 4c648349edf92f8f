package cacheproxy.nginx.importer;

import cacheproxy.placement.Placement;
import cacheproxy.placement.PlacementKey;
import cacheproxy.placement.PlacementRegistry;
import cacheproxy.placement.PlacementTarget;
import cacheproxy.placement.ServerId;
import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/** Estimates the share of a pool's keys that would move to another server if its placement were changed to CARP. */
final class CarpMigration {
    private static final int MAX_SAMPLES = 10_000;
    private static final int MIN_SAMPLES = 500;
    /** Total for all pools: with more pools, each estimate is less exact. */
    private static final int TOTAL_SAMPLES = 500_000;

    private static final long SEED = 1;
    private static final int KEY_RADIX = 36;

    private CarpMigration() {}

    /** Adds a note for each pool whose placement is not CARP. */
    static void addNotes(Collection<PoolSpec> pools, Report report) {
        int samples = Math.max(MIN_SAMPLES, Math.min(MAX_SAMPLES, TOTAL_SAMPLES / Math.max(1, pools.size())));
        for (PoolSpec pool : pools) {
            if (!pool.placement().equals(PlacementRegistry.CARP)) {
                report.note(String.format(
                        Locale.ROOT,
                        "pool %s: going over to CARP would move %.1f%% of its keys to another server",
                        pool.name(),
                        100.0 * movedKeys(pool, samples) / samples));
            }
        }
    }

    private static int movedKeys(PoolSpec pool, int samples) {
        List<PlacementTarget> targets = new ArrayList<>();
        List<Endpoint> endpoints = new ArrayList<>();
        for (ServerSpec server : pool.servers()) {
            int id = ServerId.fromName(server.name());
            targets.add(new PlacementTarget(id, server.weight(), server.placementName()));
            if (server.isActive()) {
                endpoints.add(new Endpoint(id, 0, 0, 0, EndpointState.READY, server.weight(), 0));
            }
        }
        endpoints.sort((left, right) -> Integer.compareUnsigned(left.id(), right.id()));
        Placement current = PlacementRegistry.factory(pool.placement(), targets).create(endpoints);
        Placement carp =
                PlacementRegistry.factory(PlacementRegistry.CARP, targets).create(endpoints);
        SplittableRandom random = new SplittableRandom(SEED);
        int moved = 0;
        for (int i = 0; i < samples; i++) {
            String path = "/" + Long.toString(random.nextLong(), KEY_RADIX);
            long key = PlacementKey.fromText(path.getBytes(StandardCharsets.US_ASCII));
            if (firstServer(current, key) != firstServer(carp, random.nextLong())) {
                moved++;
            }
        }
        return moved;
    }

    private static int firstServer(Placement placement, long key) {
        int[] ranked = new int[2];
        placement.rank(key, CarpHash.keyHash(key), 1, ranked);
        return ranked[0];
    }
}
