package cacheproxy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

/**
 * Compares nginx's placements with plain versions of nginx's loops, and checks which keys move when weights or servers
 * change.
 */
class NginxPlacementTest {
    private static final int KEYS = 20_000;

    private static byte[] text(int index) {
        return ("/key/" + index).getBytes(StandardCharsets.US_ASCII);
    }

    private static long crc(byte[]... parts) {
        CRC32 crc = new CRC32();
        for (byte[] part : parts) {
            crc.update(part);
        }
        return crc.getValue();
    }

    private static List<PlacementTarget> peers(int... weights) {
        List<PlacementTarget> peers = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            String name = "10.0.0." + (i + 1) + ":11211";
            peers.add(new PlacementTarget(ServerId.fromName(name), weights[i], name));
        }
        return peers;
    }

    private static List<Endpoint> readyMembers(List<PlacementTarget> peers, Set<Integer> down) {
        List<Endpoint> members = new ArrayList<>();
        for (int i = 0; i < peers.size(); i++) {
            if (!down.contains(i)) {
                members.add(new Endpoint(
                        peers.get(i).id(),
                        0,
                        0,
                        0,
                        EndpointState.READY,
                        peers.get(i).weight(),
                        0));
            }
        }
        members.sort((left, right) -> Integer.compareUnsigned(left.id(), right.id()));
        return members;
    }

    /** Returns the indexes of the ranked peers in their list, best first. */
    private static List<Integer> rank(
            Placement placement, List<PlacementTarget> peers, List<Endpoint> members, byte[] text, int wanted) {
        int[] ranked = new int[Math.max(placement.maxRanked(wanted), members.size())];
        long key = PlacementKey.fromText(text);
        int count = placement.rank(key, CarpHash.keyHash(key), wanted, ranked);
        List<Integer> ranks = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int id = members.get(ranked[i]).id();
            ranks.add(peers.indexOf(peers.stream()
                    .filter(target -> target.id() == id)
                    .findFirst()
                    .orElseThrow()));
        }
        return ranks;
    }

    private static int[] firstRanked(String kind, List<PlacementTarget> peers, Set<Integer> down) {
        List<Endpoint> members = readyMembers(peers, down);
        Placement placement = PlacementRegistry.factory(kind, peers).create(members);
        int[] first = new int[KEYS];
        for (int i = 0; i < KEYS; i++) {
            first[i] = rank(placement, peers, members, text(i), 1).get(0);
        }
        return first;
    }

    /**
     * Returns the ranking by a plain version of the loop of nginx's hash directive, which skips the servers that it has
     * tried.
     */
    private static List<Integer> referenceHashRanking(List<PlacementTarget> peers, Set<Integer> down, byte[] key) {
        int sum = peers.stream().mapToInt(PlacementTarget::weight).sum();
        List<Integer> ranks = new ArrayList<>();
        long hash = 0;
        int skipped = 0;
        for (int rehash = 0; skipped <= 20 && ranks.size() < peers.size() - down.size(); rehash++) {
            byte[] count = rehash == 0 ? new byte[0] : Integer.toString(rehash).getBytes(StandardCharsets.US_ASCII);
            hash += crc(count, key) >> 16 & 0x7fff;
            long position = hash % sum;
            int target = 0;
            while (position >= peers.get(target).weight()) {
                position -= peers.get(target++).weight();
            }
            if (down.contains(target) || ranks.contains(target)) {
                skipped++;
            } else {
                ranks.add(target);
            }
        }
        for (int target = 0; target < peers.size(); target++) {
            if (!down.contains(target) && !ranks.contains(target)) {
                ranks.add(target);
            }
        }
        return ranks;
    }

    @Test
    void hashRanksAsNginxLoopDoes() {
        SplittableRandom random = new SplittableRandom(2);
        for (int round = 0; round < 100; round++) {
            int count = 1 + random.nextInt(12);
            List<PlacementTarget> peers = peers(random.ints(count, 1, 8).toArray());
            Set<Integer> down = new HashSet<>();
            for (int i = 0; i < count; i++) {
                if (random.nextInt(4) == 0) {
                    down.add(i);
                }
            }
            List<Endpoint> members = readyMembers(peers, down);
            Placement placement = PlacementRegistry.factory("nginx-hash", peers).create(members);
            for (int i = 0; i < 50; i++) {
                assertThat(rank(placement, peers, members, text(i), count))
                        .isEqualTo(referenceHashRanking(peers, down, text(i)));
            }
        }
    }

    @Test
    void consistentHashMovesOnlyKeysOfChangedServers() {
        List<PlacementTarget> peers = peers(1, 1, 1, 1, 1);
        int[] before = firstRanked("nginx-consistent", peers, Set.of());
        // One server goes down: only its keys move, to the next servers on the ring.
        int[] without = firstRanked("nginx-consistent", peers, Set.of(2));
        int moved = 0;
        for (int i = 0; i < KEYS; i++) {
            if (before[i] != 2) {
                assertThat(without[i]).isEqualTo(before[i]);
            } else {
                moved++;
            }
        }
        assertThat(moved / (double) KEYS).isBetween(0.15, 0.25);
        // One server gets twice the weight: keys move only to it, as its fraction grows from a fifth to a third.
        int[] heavier = firstRanked("nginx-consistent", peers(1, 1, 1, 2, 1), Set.of());
        int gained = 0;
        for (int i = 0; i < KEYS; i++) {
            if (heavier[i] != before[i]) {
                assertThat(heavier[i]).isEqualTo(3);
                gained++;
            }
        }
        assertThat(gained / (double) KEYS).isBetween(0.09, 0.18);
        // Without the parameter "consistent" the same change moves most keys.
        int[] moduloBefore = firstRanked("nginx-hash", peers, Set.of());
        int[] moduloAfter = firstRanked("nginx-hash", peers(1, 1, 1, 2, 1), Set.of());
        int movedByModulo = 0;
        for (int i = 0; i < KEYS; i++) {
            movedByModulo += moduloBefore[i] != moduloAfter[i] ? 1 : 0;
        }
        assertThat(movedByModulo / (double) KEYS).isGreaterThan(0.6);
    }

    @Test
    void ranksEveryReadyServer() {
        for (String kind : List.of("nginx-hash", "nginx-consistent")) {
            List<PlacementTarget> peers = peers(1, 40, 1, 1, 7);
            List<Endpoint> members = readyMembers(peers, Set.of(3));
            Placement placement = PlacementRegistry.factory(kind, peers).create(members);
            for (int i = 0; i < 500; i++) {
                assertThat(rank(placement, peers, members, text(i), 9)).containsExactlyInAnyOrder(0, 1, 2, 4);
            }
            assertThat(rank(PlacementRegistry.factory(kind, peers).create(List.of()), peers, List.of(), text(1), 3))
                    .isEmpty();
        }
    }

    /**
     * Returns the four bytes with this CRC-32. On four bytes CRC-32 is a bijective affine map, which is inverted by
     * Gaussian elimination.
     */
    private static byte[] textWithCrc(int wanted) {
        int zero = (int) crc(new byte[4]);
        int[] images = new int[32];
        int[] inputs = new int[32];
        for (int bit = 0; bit < 32; bit++) {
            byte[] one = new byte[4];
            one[bit / 8] = (byte) (1 << bit % 8);
            images[bit] = (int) crc(one) ^ zero;
            inputs[bit] = 1 << bit;
        }
        int remaining = wanted ^ zero;
        int input = 0;
        for (int pivot = 0; pivot < 32; pivot++) {
            int row = pivot;
            while ((images[row] >>> pivot & 1) == 0) {
                row++;
            }
            int pivotImage = images[row];
            int pivotInput = inputs[row];
            images[row] = images[pivot];
            inputs[row] = inputs[pivot];
            images[pivot] = pivotImage;
            inputs[pivot] = pivotInput;
            for (int other = pivot + 1; other < 32; other++) {
                if ((images[other] >>> pivot & 1) != 0) {
                    images[other] ^= pivotImage;
                    inputs[other] ^= pivotInput;
                }
            }
            if ((remaining >>> pivot & 1) != 0) {
                remaining ^= pivotImage;
                input ^= pivotInput;
            }
        }
        return new byte[] {(byte) input, (byte) (input >>> 8), (byte) (input >>> 16), (byte) (input >>> 24)};
    }

    @Test
    void keyOnARingPointBelongsToItsServer() {
        List<PlacementTarget> peers = peers(1, 1, 1, 1);
        List<Endpoint> members = readyMembers(peers, Set.of());
        Placement placement =
                PlacementRegistry.factory("nginx-consistent", peers).create(members);
        for (int target = 0; target < 4; target++) {
            byte[] base = ("10.0.0." + (target + 1) + "\0" + "11211").getBytes(StandardCharsets.US_ASCII);
            int point = 0;
            for (int i = 0; i < 160; i++) {
                point = (int) crc(
                        base,
                        new byte[] {(byte) point, (byte) (point >>> 8), (byte) (point >>> 16), (byte) (point >>> 24)});
                byte[] key = textWithCrc(point);
                assertThat((int) crc(key)).isEqualTo(point);
                assertThat(rank(placement, peers, members, key, 1))
                        .as("point " + i + " of server " + target)
                        .containsExactly(target);
            }
        }
    }
}
