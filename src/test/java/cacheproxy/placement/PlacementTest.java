package cacheproxy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.CarpHash;
import cacheproxy.policy.PolicyApi.Member;
import cacheproxy.policy.PolicyApi.State;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Rankings: CARP's against a plain statement of it, backups behind all others. */
class PlacementTest {
    private static List<Member> members(SplittableRandom random, int n, boolean equal) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            float weight = equal ? 1 : random.nextInt(8) / 4f;
            members.add(new Member(random.nextInt(), 0, 0, 0, State.READY, weight, 0));
        }
        members.sort((a, b) -> Integer.compareUnsigned(a.id(), b.id()));
        return members;
    }

    /** Section 3.4 of the draft, word for word: score all, sort, the best first. */
    private static List<Integer> plainly(List<Member> members, int keyHash, int want) {
        float[] weights = new float[members.size()];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = members.get(i).weight();
        }
        float[] x = CarpHash.multipliers(weights);
        return IntStream.range(0, members.size())
                .boxed()
                .sorted(Comparator.comparingDouble(i -> -CarpHash.score(
                        keyHash, CarpHash.memberHash(members.get(i).id()), x[i])))
                .limit(want)
                .toList();
    }

    private static List<Integer> top(Placement placement, long key, int want) {
        int[] top = new int[placement.most(want)];
        int n = placement.top(key, CarpHash.keyHash(key), want, top);
        return IntStream.of(top).limit(n).boxed().toList();
    }

    @Test
    void carpsRankingIsThatOfScoringAndSortingAllAtEverySize() {
        SplittableRandom random = new SplittableRandom(11);
        for (int n : new int[] {0, 1, 2, 7, 8, 9, 255, 256, 257, 511, 1000, 4095, 4097, 9000}) {
            List<Member> members = members(random, n, n % 2 == 0);
            Placement carp = new CarpPlacement(members);
            for (int i = 0; i < (n > 2000 ? 15 : 60); i++) {
                long key = random.nextLong();
                int want = 1 + random.nextInt(20);
                assertThat(top(carp, key, want))
                        .as("%d members", n)
                        .isEqualTo(plainly(members, CarpHash.keyHash(key), want));
            }
        }
    }

    @Test
    void membersOfOneIdAndWeightKeepTheirOrder() {
        Member twin = new Member(7, 0, 0, 0, State.READY, 1, 0);
        assertThat(top(new CarpPlacement(List.of(twin, twin, twin)), 5, 3)).containsExactly(0, 1, 2);
    }

    @Test
    void backupsComeBehindAllOthersAndHotKeysAreNotSpreadOverThem() {
        SplittableRandom random = new SplittableRandom(12);
        List<Member> members = members(random, 30, false);
        Placement.Factory factory = BackupPlacement.over(CarpPlacement::new, id -> (id & 3) == 0);
        Placement placement = factory.of(members);
        List<Member> ordinary = members.stream().filter(m -> (m.id() & 3) != 0).toList();
        assertThat(placement.spreadable()).isEqualTo(ordinary.size()).isLessThan(30);
        for (int i = 0; i < 200; i++) {
            long key = random.nextLong();
            List<Integer> top = top(placement, key, 8);
            assertThat(top).doesNotHaveDuplicates();
            List<Member> first =
                    top.subList(0, ordinary.size()).stream().map(members::get).toList();
            assertThat(first)
                    .isEqualTo(top(new CarpPlacement(ordinary), key, 30).stream()
                            .map(ordinary::get)
                            .toList());
            assertThat(top.subList(ordinary.size(), top.size()))
                    .isNotEmpty()
                    .allSatisfy(m -> assertThat(members.get(m).id() & 3).isZero());
        }
    }

    @Test
    void withNoBackupOnTheListTheRankingIsThePlainOne() {
        List<Member> members = members(new SplittableRandom(13), 12, false);
        assertThat(BackupPlacement.over(CarpPlacement::new, id -> false).of(members))
                .isInstanceOf(CarpPlacement.class);
    }
}
