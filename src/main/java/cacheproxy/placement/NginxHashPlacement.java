package cacheproxy.placement;

import cacheproxy.policy.PolicyApi.Member;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * nginx's {@code hash KEY} without {@code consistent}, which is that of Cache::Memcached: bits 16 to 30 of the key's
 * CRC-32 modulo the sum of weights; where that server is down or has been tried, the count of looks is put before the
 * key, hashed again and added. After {@value #LOOKS} looks in vain nginx goes round; here the file's order follows.
 * Keys are {@link PlacementKey}s.
 */
public final class NginxHashPlacement implements Placement {
    /** nginx gives up hashing after so many. */
    static final int MAX_REHASHES = 20;

    private final int[] cumulativeWeights;
    /** Indexes of members by peer; -1: not ready. */
    private final int[] memberIndexes;

    private final boolean[] taken;
    /** CRC-32 of the look's number in decimal. */
    private final int[] rehashPrefixCrcs;

    private NginxHashPlacement(List<PlacementTarget> peers, List<Member> members) {
        memberIndexes = memberIndexes(peers, members);
        cumulativeWeights = new int[peers.size()];
        taken = new boolean[peers.size()];
        int sum = 0;
        for (int i = 0; i < cumulativeWeights.length; i++) {
            sum += peers.get(i).weight();
            cumulativeWeights[i] = sum;
        }
        rehashPrefixCrcs = new int[MAX_REHASHES + 2 + cumulativeWeights.length];
        for (int i = 1; i < rehashPrefixCrcs.length; i++) {
            CRC32 crc = new CRC32();
            crc.update(Integer.toString(i).getBytes(StandardCharsets.US_ASCII));
            rehashPrefixCrcs[i] = (int) crc.getValue();
        }
    }

    /** Over peers in the file's order, whichever of them are ready. */
    public static Factory factory(List<PlacementTarget> peers) {
        return members -> new NginxHashPlacement(peers, members);
    }

    /** For each peer its index among members; -1 where it is not there. */
    static int[] memberIndexes(List<PlacementTarget> peers, List<Member> members) {
        Map<Integer, Integer> at = new HashMap<>();
        for (Member m : members) {
            at.put(m.id(), at.size());
        }
        List<Integer> ready = new ArrayList<>();
        peers.forEach(p -> ready.add(at.getOrDefault(p.id(), -1)));
        return ready.stream().mapToInt(Integer::intValue).toArray();
    }

    @Override
    public int maxHotKeySpread() {
        return 1; // nginx sends a key to one server, however hot it is
    }

    @Override
    public int rank(long key, int keyHash, int wanted, int[] ranked) {
        java.util.Arrays.fill(taken, false);
        int n = 0;
        int sum = cumulativeWeights.length == 0 ? 0 : cumulativeWeights[cumulativeWeights.length - 1];
        int hash = 0;
        for (int look = 0, vain = 0;
                sum > 0 && n < wanted && vain <= MAX_REHASHES && look < rehashPrefixCrcs.length;
                look++) {
            int crc = look == 0 ? PlacementKey.crc(key) : PlacementKey.crcWithPrefix(rehashPrefixCrcs[look], key);
            hash += crc >>> 16 & 0x7FFF;
            int at = targetOf(Integer.remainderUnsigned(hash, sum));
            if (taken[at] || memberIndexes[at] < 0) {
                vain++;
            } else {
                taken[at] = true;
                ranked[n++] = memberIndexes[at];
            }
        }
        for (int i = 0; n < wanted && i < memberIndexes.length; i++) {
            if (!taken[i] && memberIndexes[i] >= 0) {
                taken[i] = true;
                ranked[n++] = memberIndexes[i];
            }
        }
        return n;
    }

    private int targetOf(int place) {
        int at = java.util.Arrays.binarySearch(cumulativeWeights, place + 1);
        return at >= 0 ? at : -at - 1;
    }
}
