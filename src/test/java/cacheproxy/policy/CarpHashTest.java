package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The hash functions of CARP and the distribution of keys that results from them. */
class CarpHashTest {
    private static final int KEYS = 60_000;

    @Test
    void equalWeightsGiveEqualMultipliers() {
        for (float multiplier : CarpHash.multipliers(new float[] {2, 2, 2, 2})) {
            assertThat(multiplier).isCloseTo(1f, within(1e-6f));
        }
    }

    /** Two members with shares 0.4 and 0.6: X1 = sqrt(0.8), X2 = 0.2/X1 + X1, by hand. */
    @Test
    void computesMultipliersOfTwoMembers() {
        float[] multipliers = CarpHash.multipliers(new float[] {6, 4});
        assertThat(multipliers[1]).isCloseTo(0.894427f, within(1e-6f));
        assertThat(multipliers[0]).isCloseTo(1.118034f, within(1e-6f));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 140, 700})
    void multipliersAreFiniteAndOrderedByWeight(int count) {
        float[] weights = new float[count];
        for (int i = 0; i < count; i++) {
            weights[i] = 1 + i % 3;
        }
        float[] multipliers = CarpHash.multipliers(weights);
        for (int i = 0; i < count; i++) {
            assertThat(multipliers[i]).isFinite().isPositive();
            if (i > 0 && weights[i] > weights[i - 1]) {
                assertThat(multipliers[i]).isGreaterThan(multipliers[i - 1]);
            }
        }
    }

    /** Expected hashes were computed by an independent implementation of the draft. */
    @Test
    void computesHashesOfTheDraft() {
        assertThat(CarpHash.keyHash(0xCAFEL)).isEqualTo(0x37D7FBC8);
        assertThat(CarpHash.memberHash(0xF211902C)).isEqualTo(0xAD011C39);
        assertThat(CarpHash.combine(0x12345678, 0x9ABCDEF0)).isEqualTo(0xF3C285C6);
    }

    /**
     * Each member's key count differs from its fair share by at most 15%, for the ranking itself, plus five standard
     * deviations of random draws.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 12, 60, 300})
    void sharesFollowWeights(int count) {
        float[] weights = new float[count];
        int[] memberHashes = new int[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            weights[i] = 1 + i % 3;
            sum += weights[i];
            memberHashes[i] = CarpHash.memberHash((i + 1) * 0x9E3779B1);
        }
        int[] keyCounts = countKeysByMember(memberHashes, CarpHash.multipliers(weights), KEYS);
        for (int i = 0; i < count; i++) {
            double fair = KEYS * weights[i] / sum;
            assertThat((double) keyCounts[i]).isCloseTo(fair, within(0.15 * fair + 5 * Math.sqrt(fair)));
        }
    }

    private static int[] countKeysByMember(int[] memberHashes, float[] multipliers, int keys) {
        int[] keyCounts = new int[memberHashes.length];
        for (int i = 1; i <= keys; i++) {
            keyCounts[bestMember(i * 0x9E3779B97F4A7C15L, memberHashes, multipliers)]++;
        }
        return keyCounts;
    }

    private static int bestMember(long key, int[] memberHashes, float[] multipliers) {
        int best = 0;
        for (int i = 1; i < memberHashes.length; i++) {
            int keyHash = CarpHash.keyHash(key);
            if (CarpHash.score(keyHash, memberHashes[i], multipliers[i])
                    > CarpHash.score(keyHash, memberHashes[best], multipliers[best])) {
                best = i;
            }
        }
        return best;
    }

    @Test
    void removedServerMovesOnlyItsKeys() {
        int[] all = new int[20];
        for (int i = 0; i < all.length; i++) {
            all[i] = CarpHash.memberHash(i + 1);
        }
        int[] remaining = Arrays.copyOf(all, 19);
        float[] multipliers = new float[20];
        Arrays.fill(multipliers, 1);
        for (int key = 1; key < 3000; key++) {
            int before = bestMember(key, all, multipliers);
            if (before != 19) {
                assertThat(bestMember(key, remaining, multipliers)).isEqualTo(before);
            }
        }
    }
}
