package cacheproxy.placement;

import cacheproxy.policy.Endpoint;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The ranking of nginx's {@code hash KEY} without {@code consistent}, which is also that of Cache::Memcached: bits 16
 * to 30 of the key's CRC-32, modulo the sum of weights. If that server is down or already ranked, the number of the
 * rehash is prepended to the key, and the hash of the result is added to the previous hash. After
 * {@value #MAX_REHASHES} hashes without a new server nginx falls back to round robin; here the remaining servers follow
 * in the configuration's order. Keys are {@link PlacementKey}s.
 */
public final class NginxHashPlacement implements Placement {
    /** Hashes without a new server after which nginx stops rehashing. */
    static final int MAX_REHASHES = 20;

    private static final int HASH_MASK = 0x7FFF;

    /** Sums of the weights up to and including each target. */
    private final int[] cumulativeWeights;

    /** Indexes of members by target; {@link PlacementTarget#NOT_READY} where a target is not ready. */
    private final int[] memberIndexes;

    /** Whether each target has been ranked; reused between rankings. */
    private final boolean[] isRanked;

    /** CRC-32 of each rehash's number in decimal; 0, the first hash, has no prefix. */
    private final int[] rehashPrefixCrcs;

    private NginxHashPlacement(List<PlacementTarget> targets, List<Endpoint> members) {
        memberIndexes = PlacementTarget.memberIndexes(targets, members);
        cumulativeWeights = new int[targets.size()];
        isRanked = new boolean[targets.size()];
        int sum = 0;
        for (int i = 0; i < cumulativeWeights.length; i++) {
            sum += targets.get(i).weight();
            cumulativeWeights[i] = sum;
        }
        rehashPrefixCrcs = new int[MAX_REHASHES + 2 + cumulativeWeights.length];
        for (int i = 1; i < rehashPrefixCrcs.length; i++) {
            CRC32 crc = new CRC32();
            crc.update(Integer.toString(i).getBytes(StandardCharsets.US_ASCII));
            rehashPrefixCrcs[i] = (int) crc.getValue();
        }
    }

    /** Returns a factory over targets in the configuration's order, whether ready or not. */
    public static PlacementFactory factory(List<PlacementTarget> targets) {
        return members -> new NginxHashPlacement(targets, members);
    }

    @Override
    public int maxHotKeySpread() {
        return 1; // nginx sends all requests for a key to one server, even if the key is hot
    }

    @Override
    public int rank(long key, int keyHash, int wanted, int[] ranked) {
        Arrays.fill(isRanked, false);
        int weightSum = cumulativeWeights.length == 0 ? 0 : cumulativeWeights[cumulativeWeights.length - 1];
        int count = weightSum == 0 ? 0 : rankByRehashing(key, weightSum, wanted, ranked);
        return rankRemaining(count, wanted, ranked);
    }

    private int rankByRehashing(long key, int weightSum, int wanted, int[] ranked) {
        int count = 0;
        int hash = 0;
        int skipped = 0;
        for (int rehash = 0; rehash < rehashPrefixCrcs.length; rehash++) {
            if (count >= wanted || skipped > MAX_REHASHES) {
                break;
            }
            int crc = rehash == 0 ? PlacementKey.crc(key) : PlacementKey.crcWithPrefix(rehashPrefixCrcs[rehash], key);
            hash += crc >>> 16 & HASH_MASK;
            int target = targetOf(Integer.remainderUnsigned(hash, weightSum));
            if (isAvailable(target)) {
                isRanked[target] = true;
                ranked[count++] = memberIndexes[target];
            } else {
                skipped++;
            }
        }
        return count;
    }

    private int rankRemaining(int alreadyRanked, int wanted, int[] ranked) {
        int count = alreadyRanked;
        for (int target = 0; count < wanted && target < memberIndexes.length; target++) {
            if (isAvailable(target)) {
                isRanked[target] = true;
                ranked[count++] = memberIndexes[target];
            }
        }
        return count;
    }

    private boolean isAvailable(int target) {
        return !isRanked[target] && memberIndexes[target] >= 0;
    }

    /** Returns the target that owns a position, 0 to the sum of weights - 1. */
    private int targetOf(int position) {
        int index = Arrays.binarySearch(cumulativeWeights, position + 1);
        return index >= 0 ? index : -index - 1;
    }
}
