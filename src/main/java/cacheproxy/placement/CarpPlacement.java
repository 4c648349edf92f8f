package cacheproxy.placement;

import cacheproxy.policy.CarpHash;
import cacheproxy.policy.PolicyApi.Member;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * CARP's ranking (draft-vinod-carp-v1-03, section 3.4). Every member is scored for each key, so the scan is what
 * counts. Hashes lie in rows; loops that the compiler turns into vector code combine a row with the key and keep, for
 * each lane of some rows, the greatest. Only lanes whose greatest hash with the greatest multiplier could get among the
 * best are looked into. The answers are those of scoring one after another.
 */
public final class CarpPlacement implements Placement {
    /** Hashes in a row, 1 KiB: enough for unrolled vector code. */
    private static final int MAX_LANES = 256;
    /** Rows whose lanes are passed over as one. */
    private static final int ROWS_PER_BLOCK = 16;

    private final int lanes;
    /** Members by falling multiplier, so that those near each other have nearly the same. */
    private final int[] memberIndexes;

    private final double[] multipliers;
    private final int[][] hashRows;
    /** The hashes combined with a key's. */
    private final int[][] combinedRows;

    private final int[] greatest;
    private double[] scores = new double[16];

    /** Over members in the order of their ids; their weights need not sum to 1. */
    public CarpPlacement(List<Member> members) {
        int n = members.size();
        float[] weights = new float[n];
        for (int i = 0; i < n; i++) {
            weights[i] = members.get(i).weight();
        }
        float[] x = CarpHash.multipliers(weights);
        memberIndexes = IntStream.range(0, n)
                .boxed()
                .sorted((a, b) -> Float.compare(x[b], x[a]))
                .mapToInt(Integer::intValue)
                .toArray();
        multipliers = new double[n];
        lanes = Math.max(1, Math.min(MAX_LANES, n));
        int rows = (n + lanes - 1) / lanes;
        hashRows = new int[rows][lanes]; // the last row may end in lanes of nobody
        combinedRows = new int[rows][lanes];
        greatest = new int[lanes];
        for (int i = 0; i < n; i++) {
            hashRows[i / lanes][i % lanes] =
                    CarpHash.memberHash(members.get(memberIndexes[i]).id());
            multipliers[i] = x[memberIndexes[i]];
        }
    }

    @Override
    public int maxHotKeySpread() {
        return memberIndexes.length;
    }

    @Override
    public int rank(long key, int keyHash, int wanted, int[] ranked) {
        if (scores.length < wanted) {
            scores = new double[wanted];
        }
        int count = 0;
        if (hashRows.length <= 1) { // too few for lanes to save anything
            for (int i = 0; i < memberIndexes.length; i++) {
                combinedRows[0][i] = CarpHash.combine(keyHash, hashRows[0][i]);
                count = rankLane(0, 1, i, count, wanted, ranked);
            }
            return count;
        }
        int least = 0;
        for (int from = 0; from < hashRows.length; from += ROWS_PER_BLOCK) {
            int to = Math.min(hashRows.length, from + ROWS_PER_BLOCK);
            Arrays.fill(greatest, 0);
            for (int row = from; row < to; row++) {
                combine(keyHash, hashRows[row], combinedRows[row]);
                greatest(combinedRows[row], greatest);
            }
            for (int lane = 0; lane < lanes; lane++) {
                if (greatest[lane] >= least) {
                    count = rankLane(from, to, lane, count, wanted, ranked);
                    // Holds for what follows, too: multipliers fall.
                    least = count < wanted ? 0 : minHalfHash(scores[wanted - 1], multipliers[from * lanes]);
                }
            }
        }
        return count;
    }

    private int rankLane(int from, int to, int lane, int count, int wanted, int[] ranked) {
        int n = count;
        for (int row = from; row < to; row++) {
            int i = row * lanes + lane;
            if (i >= memberIndexes.length) {
                break;
            }
            double score = (combinedRows[row][lane] & 0xFFFFFFFFL) * multipliers[i];
            if (n < wanted || score >= scores[wanted - 1] && ranksBefore(score, memberIndexes[i], wanted - 1, ranked)) {
                n = insert(ranked, n, wanted, memberIndexes[i], score);
            }
        }
        return n;
    }

    /**
     * {@link CarpHash#combine} for a row. Vector code comes of it only if all arrays have one index; rotations are
     * sums, as for the usual form there is no vector code everywhere.
     */
    private static void combine(int keyHash, int[] hashes, int[] out) {
        for (int i = 0; i < out.length; i++) {
            int h = (keyHash ^ hashes[i]) * (CarpHash.SPREAD + 1);
            h = ((h << 21) + (h >>> 11)) * (CarpHash.SPREAD + 1);
            out[i] = (h << 21) + (h >>> 11);
        }
    }

    /**
     * The greatest of each lane, by halves of the hashes: they are not negative, so a difference can't overflow and its
     * sign chooses. Math.max would be no vector code.
     */
    private static void greatest(int[] row, int[] greatest) {
        for (int i = 0; i < row.length; i++) {
            int half = row[i] >>> 1;
            int more = half - greatest[i];
            greatest[i] = half - (more & more >> 31);
        }
    }

    /**
     * The least half of a hash that could reach a score with this multiplier. Rounded down by more than the division
     * can be wrong: what passes is scored exactly.
     */
    private static int minHalfHash(double score, double multiplier) {
        double hash = multiplier > 0 ? score / multiplier * (1 - 1e-12) - 1 : 0;
        return (int) ((long) Math.max(0, Math.min(0xFFFFFFFFL, hash)) >>> 1);
    }

    /** Whether a score goes before the one at this rank; of equals the member that is first on the list. */
    private boolean ranksBefore(double score, int member, int rank, int[] ranked) {
        return score > scores[rank] || score == scores[rank] && member < ranked[rank];
    }

    private int insert(int[] ranked, int count, int wanted, int member, double score) {
        int at = count < wanted ? count : wanted - 1;
        for (; at > 0 && ranksBefore(score, member, at - 1, ranked); at--) {
            ranked[at] = ranked[at - 1];
            scores[at] = scores[at - 1];
        }
        ranked[at] = member;
        scores[at] = score;
        return Math.min(wanted, count + 1);
    }
}
