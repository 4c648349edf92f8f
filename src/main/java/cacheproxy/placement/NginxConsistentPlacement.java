package cacheproxy.placement;

import cacheproxy.policy.Endpoint;
import java.util.Arrays;
import java.util.List;

/**
 * The ranking of nginx's {@code hash KEY consistent}: a key belongs to the first point of the {@link KetamaRing} at or
 * after its own CRC-32. Servers that are down keep their points and are skipped. Keys are {@link PlacementKey}s.
 */
public final class NginxConsistentPlacement implements Placement {
    /**
     * Greatest sum of the targets' weights; bounds the memory of the ring, 16 bytes for each point while it is built.
     */
    public static final int MAX_WEIGHT_SUM = 100_000;

    private final KetamaRing ring;

    /** Indexes of members by target; {@link PlacementTarget#NOT_READY} where a target is not ready. */
    private final int[] memberIndexes;

    private final int readyTargets;

    /** Whether each target has been ranked; reused between rankings. */
    private final boolean[] isRanked;

    private NginxConsistentPlacement(KetamaRing ring, List<PlacementTarget> targets, List<Endpoint> members) {
        this.ring = ring;
        memberIndexes = PlacementTarget.memberIndexes(targets, members);
        readyTargets =
                (int) Arrays.stream(memberIndexes).filter(index -> index >= 0).count();
        isRanked = new boolean[targets.size()];
    }

    /** Returns a factory over targets in the configuration's order, whether ready or not. The ring is built once. */
    public static PlacementFactory factory(List<PlacementTarget> targets) {
        KetamaRing ring = new KetamaRing(targets);
        return members -> new NginxConsistentPlacement(ring, targets, members);
    }

    @Override
    public int maxHotKeySpread() {
        return 1; // nginx sends all requests for a key to one server, even if the key is hot
    }

    @Override
    public int rank(long key, int keyHash, int wanted, int[] ranked) {
        Arrays.fill(isRanked, false);
        int maxCount = Math.min(wanted, readyTargets);
        int count = 0;
        int points = ring.size();
        int position = points == 0 ? 0 : ring.firstAtOrAfter(PlacementKey.crc(key)) % points;
        for (int visited = 0; count < maxCount && visited < points; visited++) {
            int target = ring.target(position);
            if (!isRanked[target] && memberIndexes[target] >= 0) {
                isRanked[target] = true;
                ranked[count++] = memberIndexes[target];
            }
            position = position + 1 == points ? 0 : position + 1;
        }
        return count;
    }
}
