package cacheproxy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Compares CARP rankings with scoring all members one by one, and checks that backups rank after all primary servers.
 */
class PlacementTest {
    private static List<Endpoint> members(SplittableRandom random, int count, boolean equal) {
        List<Endpoint> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            float weight = equal ? 1 : random.nextInt(8) / 4f;
            members.add(new Endpoint(random.nextInt(), 0, 0, 0, EndpointState.READY, weight, 0));
        }
        members.sort((left, right) -> Integer.compareUnsigned(left.id(), right.id()));
        return members;
    }

    /** Ranks as in section 3.4 of the draft: scores all members and sorts them by score, best first. */
    private static List<Integer> rankByScoringAll(List<Endpoint> members, int keyHash, int wanted) {
        float[] weights = new float[members.size()];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = members.get(i).weight();
        }
        float[] multipliers = CarpHash.multipliers(weights);
        return IntStream.range(0, members.size())
                .boxed()
                .sorted(Comparator.comparingDouble(i -> -CarpHash.score(
                        keyHash, CarpHash.memberHash(members.get(i).id()), multipliers[i])))
                .limit(wanted)
                .toList();
    }

    private static List<Integer> rank(Placement placement, long key, int wanted) {
        int[] ranked = new int[placement.maxRanked(wanted)];
        int count = placement.rank(key, CarpHash.keyHash(key), wanted, ranked);
        return IntStream.of(ranked).limit(count).boxed().toList();
    }

    @Test
    void carpRankingEqualsScoringAndSortingAllMembers() {
        SplittableRandom random = new SplittableRandom(11);
        for (int count : new int[] {0, 1, 2, 7, 8, 9, 255, 256, 257, 511, 1000, 4095, 4097, 9000}) {
            List<Endpoint> members = members(random, count, count % 2 == 0);
            Placement carp = new CarpPlacement(members);
            for (int i = 0; i < (count > 2000 ? 15 : 60); i++) {
                long key = random.nextLong();
                int wanted = 1 + random.nextInt(20);
                assertThat(rank(carp, key, wanted))
                        .as("%d members", count)
                        .isEqualTo(rankByScoringAll(members, CarpHash.keyHash(key), wanted));
            }
        }
    }

    @Test
    void membersWithEqualIdAndWeightKeepListOrder() {
        Endpoint duplicate = new Endpoint(7, 0, 0, 0, EndpointState.READY, 1, 0);
        assertThat(rank(new CarpPlacement(List.of(duplicate, duplicate, duplicate)), 5, 3))
                .containsExactly(0, 1, 2);
    }

    @Test
    void ranksBackupsLastAndExcludesThemFromHotKeySpread() {
        SplittableRandom random = new SplittableRandom(12);
        List<Endpoint> members = members(random, 30, false);
        PlacementFactory factory = BackupPlacement.withBackups(CarpPlacement::new, id -> (id & 3) == 0);
        Placement placement = factory.create(members);
        List<Endpoint> primaries =
                members.stream().filter(member -> (member.id() & 3) != 0).toList();
        assertThat(placement.maxHotKeySpread()).isEqualTo(primaries.size()).isLessThan(30);
        for (int i = 0; i < 200; i++) {
            long key = random.nextLong();
            List<Integer> ranked = rank(placement, key, 8);
            assertThat(ranked).doesNotHaveDuplicates();
            List<Endpoint> first = ranked.subList(0, primaries.size()).stream()
                    .map(members::get)
                    .toList();
            assertThat(first)
                    .isEqualTo(rank(new CarpPlacement(primaries), key, 30).stream()
                            .map(primaries::get)
                            .toList());
            assertThat(ranked.subList(primaries.size(), ranked.size()))
                    .isNotEmpty()
                    .allSatisfy(
                            member -> assertThat(members.get(member).id() & 3).isZero());
        }
    }

    @Test
    void usesPlainPlacementWhenNoBackupIsListed() {
        List<Endpoint> members = members(new SplittableRandom(13), 12, false);
        assertThat(BackupPlacement.withBackups(CarpPlacement::new, id -> false).create(members))
                .isInstanceOf(CarpPlacement.class);
    }
}
