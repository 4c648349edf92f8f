package cacheproxy.nginx.importer;

import cacheproxy.placement.Placement;
import cacheproxy.placement.PlacementKey;
import cacheproxy.placement.PlacementRegistry;
import cacheproxy.placement.PlacementTarget;
import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/** What share of a pool's keys would move if it went over to CARP: computed, over keys drawn at random. */
final class ServerMoves {
    private static final int MOST_KEYS = 10_000;
    private static final int LEAST_KEYS = 500;
    /** Over all pools: with very many each is known less exactly. */
    private static final int ALL_KEYS = 500_000;

    private static final long SEED = 1;

    private ServerMoves() {}

    static void note(Collection<PoolTranslator.PoolSpec> pools, Report report) {
        int keys = Math.max(LEAST_KEYS, Math.min(MOST_KEYS, ALL_KEYS / Math.max(1, pools.size())));
        for (PoolTranslator.PoolSpec p : pools) {
            if (!p.placement().equals(PlacementRegistry.CARP)) {
                report.note(String.format(
                        java.util.Locale.ROOT,
                        "pool %s: going over to CARP would move %.1f%% of its keys to another server",
                        p.name(),
                        100.0 * moved(p, keys) / keys));
            }
        }
    }

    private static int moved(PoolTranslator.PoolSpec pool, int keys) {
        List<PlacementTarget> peers = new ArrayList<>();
        List<Endpoint> members = new ArrayList<>();
        for (int i = 0; i < pool.servers().size(); i++) {
            PoolTranslator.ServerSpec s = pool.servers().get(i);
            int id = cacheproxy.placement.ServerId.fromName(s.name());
            peers.add(new PlacementTarget(id, s.weight(), s.ring() == null ? s.name() : s.ring()));
            if (!s.down() && !s.backup()) {
                members.add(new Endpoint(id, 0, 0, 0, EndpointState.READY, s.weight(), 0));
            }
        }
        members.sort((a, b) -> Integer.compareUnsigned(a.id(), b.id()));
        Placement now = PlacementRegistry.factory(pool.placement(), peers).create(members);
        Placement carp =
                PlacementRegistry.factory(PlacementRegistry.CARP, peers).create(members);
        SplittableRandom random = new SplittableRandom(SEED);
        int[] top = new int[2];
        int moved = 0;
        for (int i = 0; i < keys; i++) {
            byte[] text = ("/" + Long.toString(random.nextLong(), 36)).getBytes(StandardCharsets.US_ASCII);
            long key = PlacementKey.fromText(text);
            now.rank(key, CarpHash.keyHash(key), 1, top);
            int before = top[0];
            long number = random.nextLong();
            carp.rank(number, CarpHash.keyHash(number), 1, top);
            moved += top[0] != before ? 1 : 0;
        }
        return moved;
    }
}
