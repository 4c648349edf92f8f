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
    static final int LOOKS = 20;

    private final int[] bounds;
    /** Indexes of members by peer; -1: not ready. */
    private final int[] ready;

    private final boolean[] taken;
    /** CRC-32 of the look's number in decimal. */
    private final int[] numbers;

    private NginxHashPlacement(List<PlacementTarget> peers, List<Member> members) {
        ready = ready(peers, members);
        bounds = new int[peers.size()];
        taken = new boolean[peers.size()];
        int sum = 0;
        for (int i = 0; i < bounds.length; i++) {
            sum += peers.get(i).weight();
            bounds[i] = sum;
        }
        numbers = new int[LOOKS + 2 + bounds.length];
        for (int i = 1; i < numbers.length; i++) {
            CRC32 crc = new CRC32();
            crc.update(Integer.toString(i).getBytes(StandardCharsets.US_ASCII));
            numbers[i] = (int) crc.getValue();
        }
    }

    /** Over peers in the file's order, whichever of them are ready. */
    public static Factory over(List<PlacementTarget> peers) {
        return members -> new NginxHashPlacement(peers, members);
    }

    /** For each peer its index among members; -1 where it is not there. */
    static int[] ready(List<PlacementTarget> peers, List<Member> members) {
        Map<Integer, Integer> at = new HashMap<>();
        for (Member m : members) {
            at.put(m.id(), at.size());
        }
        List<Integer> ready = new ArrayList<>();
        peers.forEach(p -> ready.add(at.getOrDefault(p.id(), -1)));
        return ready.stream().mapToInt(Integer::intValue).toArray();
    }

    @Override
    public int spreadable() {
        return 1; // nginx sends a key to one server, however hot it is
    }

    @Override
    public int top(long key, int keyHash, int want, int[] top) {
        java.util.Arrays.fill(taken, false);
        int n = 0;
        int sum = bounds.length == 0 ? 0 : bounds[bounds.length - 1];
        int hash = 0;
        for (int look = 0, vain = 0; sum > 0 && n < want && vain <= LOOKS && look < numbers.length; look++) {
            int crc = look == 0 ? PlacementKey.crc(key) : PlacementKey.crcBehind(numbers[look], key);
            hash += crc >>> 16 & 0x7FFF;
            int at = peer(Integer.remainderUnsigned(hash, sum));
            if (taken[at] || ready[at] < 0) {
                vain++;
            } else {
                taken[at] = true;
                top[n++] = ready[at];
            }
        }
        for (int i = 0; n < want && i < ready.length; i++) {
            if (!taken[i] && ready[i] >= 0) {
                taken[i] = true;
                top[n++] = ready[i];
            }
        }
        return n;
    }

    private int peer(int place) {
        int at = java.util.Arrays.binarySearch(bounds, place + 1);
        return at >= 0 ? at : -at - 1;
    }
}
