package cacheproxy.placement;

import cacheproxy.policy.PolicyApi.Member;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;

/**
 * nginx's {@code hash KEY consistent}, the ketama ring as Cache::Memcached::Fast builds it: 160 points a unit of
 * weight, each the CRC-32 of host, NUL, port and the point before; a key belongs to the first point at or behind its
 * own CRC-32. Servers that are down keep their points and are passed over. Keys are {@link PlacementKey}s.
 */
public final class NginxConsistentPlacement implements Placement {
    private static final int POINTS_PER_WEIGHT = 160;
    /** Bounds what the points of huge weights take: 16 bytes each, while they are built. */
    public static final int MAX_WEIGHT_SUM = 100_000;

    private final Ring ring;
    private final int[] memberIndexes;
    private final int readyTargets;
    private final boolean[] taken;

    /** Points in ascending order, unsigned, of no more than one server each. */
    private static final class Ring {
        final int[] hashes;
        final int[] peers;

        Ring(List<PlacementTarget> list) {
            int sum = list.stream().mapToInt(PlacementTarget::weight).sum();
            // The point above, the peer below: among equal points the peer that is written first goes first.
            long[] points = new long[sum * POINTS_PER_WEIGHT];
            int n = 0;
            for (int i = 0; i < list.size(); i++) {
                byte[] base = base(list.get(i).address());
                int before = 0;
                for (int j = list.get(i).weight() * POINTS_PER_WEIGHT; j > 0; j--) {
                    CRC32 crc = new CRC32();
                    crc.update(base, 0, base.length);
                    for (int shift = 0; shift < 32; shift += 8) {
                        crc.update(before >>> shift & 255);
                    }
                    before = (int) crc.getValue();
                    points[n++] = crc.getValue() << 31 | i;
                }
            }
            Arrays.sort(points);
            int[] h = new int[n];
            int[] p = new int[n];
            int count = 0;
            for (long point : points) {
                int hash = (int) (point >>> 31);
                if (count == 0 || h[count - 1] != hash) {
                    h[count] = hash;
                    p[count++] = (int) point & Integer.MAX_VALUE;
                }
            }
            hashes = Arrays.copyOf(h, count);
            peers = Arrays.copyOf(p, count);
        }

        /** Host, NUL and port of an address as it is written; without a port, or of a Unix socket, all is the host. */
        private static byte[] base(String address) {
            String text = address;
            int colon = -1;
            if (text.regionMatches(true, 0, "unix:", 0, 5)) {
                text = text.substring(5);
            } else {
                int digit = text.length();
                while (digit > 0 && text.charAt(digit - 1) >= '0' && text.charAt(digit - 1) <= '9') {
                    digit--;
                }
                colon = digit > 0 && text.charAt(digit - 1) == ':' ? digit - 1 : -1;
            }
            String joined = colon < 0 ? text + "\0" : text.substring(0, colon) + "\0" + text.substring(colon + 1);
            return joined.getBytes(StandardCharsets.UTF_8);
        }

        int find(int hash) {
            int low = 0;
            int high = hashes.length;
            while (low < high) {
                int middle = (low + high) >>> 1;
                if (Integer.compareUnsigned(hashes[middle], hash) < 0) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }
    }

    private NginxConsistentPlacement(Ring ring, List<PlacementTarget> peers, List<Member> members) {
        this.ring = ring;
        memberIndexes = NginxHashPlacement.memberIndexes(peers, members);
        readyTargets = (int) Arrays.stream(memberIndexes).filter(r -> r >= 0).count();
        taken = new boolean[peers.size()];
    }

    /** Over peers in the file's order, whichever of them are ready. The ring is built once. */
    public static Factory factory(List<PlacementTarget> peers) {
        Ring ring = new Ring(peers);
        return members -> new NginxConsistentPlacement(ring, peers, members);
    }

    @Override
    public int maxHotKeySpread() {
        return 1; // nginx sends a key to one server, however hot it is
    }

    @Override
    public int rank(long key, int keyHash, int wanted, int[] ranked) {
        Arrays.fill(taken, false);
        int most = Math.min(wanted, readyTargets);
        int n = 0;
        int points = ring.hashes.length;
        int at = points == 0 ? 0 : ring.find(PlacementKey.crc(key)) % points;
        for (int i = 0; n < most && i < points; i++) {
            int peer = ring.peers[at];
            if (!taken[peer] && memberIndexes[peer] >= 0) {
                taken[peer] = true;
                ranked[n++] = memberIndexes[peer];
            }
            at = at + 1 == points ? 0 : at + 1;
        }
        return n;
    }
}
