package cacheproxy.placement;

import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The ranking of CARP (draft-vinod-carp-v1-03, section 3.4): each member is scored for the key, the highest score
 * first.
 *
 * <p>The cost is the scan over all members, so it is written for the compiler to vectorize. Member hashes lie in rows
 * of equal length. For each block of rows, loops combine the rows with the key's hash and keep the greatest hash of
 * each lane, that is, of each column. Only lanes whose greatest hash, multiplied by the greatest multiplier of the
 * block, could reach the best scores are scored exactly. The ranking is the same as that of scoring all members one by
 * one.
 */
public final class CarpPlacement implements Placement {
    /** Longest row: 1 KiB of hashes is enough for unrolled vector code. */
    private static final int MAX_LANES = 256;

    /** Rows whose lanes are compared at once. */
    private static final int ROWS_PER_BLOCK = 16;

    private static final int INITIAL_SCORES = 16;

    /** Relative error of a division that {@link #minHalfHash} allows for; far above the actual error. */
    private static final double DIVISION_ERROR = 1e-12;

    private static final long UNSIGNED_INT_MASK = 0xFFFFFFFFL;

    private final int lanes;

    /** Members in descending order of their multipliers, so that the multipliers within a block are nearly equal. */
    private final int[] memberIndexes;

    /** Load factor multipliers, by position in {@link #memberIndexes}. */
    private final double[] multipliers;

    private final int[][] hashRows;

    /** The hashes combined with a key's hash; reused between rankings. */
    private final int[][] combinedRows;

    /** Half of the greatest combined hash of each lane of a block; reused between blocks. */
    private final int[] greatestHalves;

    /** The scores of the members ranked so far; reused between rankings. */
    private double[] scores = new double[INITIAL_SCORES];

    /**
     * Creates a placement.
     *
     * @param members in ascending order of their unsigned ids; their weights need not sum to 1
     */
    public CarpPlacement(List<Endpoint> members) {
        int size = members.size();
        float[] weights = new float[size];
        for (int i = 0; i < size; i++) {
            weights[i] = members.get(i).weight();
        }
        float[] unsorted = CarpHash.multipliers(weights);
        memberIndexes = IntStream.range(0, size)
                .boxed()
                .sorted((left, right) -> Float.compare(unsorted[right], unsorted[left]))
                .mapToInt(Integer::intValue)
                .toArray();
        multipliers = new double[size];
        lanes = Math.max(1, Math.min(MAX_LANES, size));
        int rows = (size + lanes - 1) / lanes;
        hashRows = new int[rows][lanes]; // the last row may end in lanes without a member
        combinedRows = new int[rows][lanes];
        greatestHalves = new int[lanes];
        for (int i = 0; i < size; i++) {
            int member = memberIndexes[i];
            hashRows[i / lanes][i % lanes] =
                    CarpHash.memberHash(members.get(member).id());
            multipliers[i] = unsorted[member];
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
        return hashRows.length <= 1 ? rankRow(keyHash, wanted, ranked) : rankBlocks(keyHash, wanted, ranked);
    }

    /** Scores all members of a list that is too short to benefit from lanes. */
    private int rankRow(int keyHash, int wanted, int[] ranked) {
        int count = 0;
        for (int i = 0; i < memberIndexes.length; i++) {
            combinedRows[0][i] = CarpHash.combine(keyHash, hashRows[0][i]);
            count = rankLane(0, 1, i, count, wanted, ranked);
        }
        return count;
    }

    private int rankBlocks(int keyHash, int wanted, int[] ranked) {
        int count = 0;
        int minHalf = 0;
        for (int from = 0; from < hashRows.length; from += ROWS_PER_BLOCK) {
            int to = Math.min(hashRows.length, from + ROWS_PER_BLOCK);
            Arrays.fill(greatestHalves, 0);
            for (int row = from; row < to; row++) {
                combine(keyHash, hashRows[row], combinedRows[row]);
                keepGreatestHalves(combinedRows[row], greatestHalves);
            }
            for (int lane = 0; lane < lanes; lane++) {
                if (greatestHalves[lane] >= minHalf) {
                    count = rankLane(from, to, lane, count, wanted, ranked);
                    // The bound also holds for later blocks, because multipliers are in descending order.
                    minHalf = count < wanted ? 0 : minHalfHash(scores[wanted - 1], multipliers[from * lanes]);
                }
            }
        }
        return count;
    }

    /** Scores the members of one lane of some rows; returns the new count of ranked members. */
    private int rankLane(int fromRow, int toRow, int lane, int count, int wanted, int[] ranked) {
        int newCount = count;
        for (int row = fromRow; row < toRow; row++) {
            int i = row * lanes + lane;
            if (i >= memberIndexes.length) {
                break;
            }
            double score = (combinedRows[row][lane] & UNSIGNED_INT_MASK) * multipliers[i];
            if (newCount < wanted
                    || (score >= scores[wanted - 1] && ranksBefore(score, memberIndexes[i], wanted - 1, ranked))) {
                newCount = insert(ranked, newCount, wanted, memberIndexes[i], score);
            }
        }
        return newCount;
    }

    /**
     * {@link CarpHash#combine} for a row. It is vectorized only if all arrays share one index and rotations are written
     * as sums.
     */
    private static void combine(int keyHash, int[] hashes, int[] combined) {
        for (int i = 0; i < combined.length; i++) {
            int hash = (keyHash ^ hashes[i]) * (CarpHash.HASH_MULTIPLIER + 1);
            hash = ((hash << 21) + (hash >>> 11)) * (CarpHash.HASH_MULTIPLIER + 1);
            combined[i] = (hash << 21) + (hash >>> 11);
        }
    }

    /**
     * Keeps the greatest half hash of each lane. Halves are not negative, so that a difference cannot overflow and its
     * sign selects the greater; {@link Math#max} would not be vectorized.
     */
    private static void keepGreatestHalves(int[] row, int[] greatestHalves) {
        for (int i = 0; i < row.length; i++) {
            int half = row[i] >>> 1;
            int difference = half - greatestHalves[i];
            greatestHalves[i] = half - (difference & (difference >> 31));
        }
    }

    /** Returns half of the least hash that could reach a score with this multiplier, rounded down. */
    private static int minHalfHash(double score, double multiplier) {
        double hash = multiplier > 0 ? score / multiplier * (1 - DIVISION_ERROR) - 1 : 0;
        return (int) ((long) Math.max(0, Math.min(UNSIGNED_INT_MASK, hash)) >>> 1);
    }

    /**
     * Returns whether a score ranks before the one at this rank; of equal scores, that of the member that comes first
     * in the list does.
     */
    private boolean ranksBefore(double score, int member, int rank, int[] ranked) {
        return score > scores[rank] || (score == scores[rank] && member < ranked[rank]);
    }

    /** Inserts a member by its score and drops the last one if there are too many; returns the new count. */
    private int insert(int[] ranked, int count, int wanted, int member, double score) {
        int position = count < wanted ? count : wanted - 1;
        for (; position > 0 && ranksBefore(score, member, position - 1, ranked); position--) {
            ranked[position] = ranked[position - 1];
            scores[position] = scores[position - 1];
        }
        ranked[position] = member;
        scores[position] = score;
        return Math.min(wanted, count + 1);
    }
}
