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
    private static final int LANES = 256;
    /** Rows whose lanes are passed over as one. */
    private static final int ROWS = 16;

    private final int lanes;
    /** Members by falling multiplier, so that those near each other have nearly the same. */
    private final int[] order;

    private final double[] multipliers;
    private final int[][] hashes;
    /** The hashes combined with a key's. */
    private final int[][] combined;

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
        order = IntStream.range(0, n)
                .boxed()
                .sorted((a, b) -> Float.compare(x[b], x[a]))
                .mapToInt(Integer::intValue)
                .toArray();
        multipliers = new double[n];
        lanes = Math.max(1, Math.min(LANES, n));
        int rows = (n + lanes - 1) / lanes;
        hashes = new int[rows][lanes]; // the last row may end in lanes of nobody
        combined = new int[rows][lanes];
        greatest = new int[lanes];
        for (int i = 0; i < n; i++) {
            hashes[i / lanes][i % lanes] =
                    CarpHash.memberHash(members.get(order[i]).id());
            multipliers[i] = x[order[i]];
        }
    }

    @Override
    public int spreadable() {
        return order.length;
    }

    @Override
    public int top(long key, int keyHash, int want, int[] top) {
        if (scores.length < want) {
            scores = new double[want];
        }
        int count = 0;
        if (hashes.length <= 1) { // too few for lanes to save anything
            for (int i = 0; i < order.length; i++) {
                combined[0][i] = CarpHash.combine(keyHash, hashes[0][i]);
                count = look(0, 1, i, count, want, top);
            }
            return count;
        }
        int least = 0;
        for (int from = 0; from < hashes.length; from += ROWS) {
            int to = Math.min(hashes.length, from + ROWS);
            Arrays.fill(greatest, 0);
            for (int row = from; row < to; row++) {
                combine(keyHash, hashes[row], combined[row]);
                greatest(combined[row], greatest);
            }
            for (int lane = 0; lane < lanes; lane++) {
                if (greatest[lane] >= least) {
                    count = look(from, to, lane, count, want, top);
                    // Holds for what follows, too: multipliers fall.
                    least = count < want ? 0 : least(scores[want - 1], multipliers[from * lanes]);
                }
            }
        }
        return count;
    }

    private int look(int from, int to, int lane, int count, int want, int[] top) {
        int n = count;
        for (int row = from; row < to; row++) {
            int i = row * lanes + lane;
            if (i >= order.length) {
                break;
            }
            double score = (combined[row][lane] & 0xFFFFFFFFL) * multipliers[i];
            if (n < want || score >= scores[want - 1] && before(score, order[i], want - 1, top)) {
                n = insert(top, n, want, order[i], score);
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
    private static int least(double score, double multiplier) {
        double hash = multiplier > 0 ? score / multiplier * (1 - 1e-12) - 1 : 0;
        return (int) ((long) Math.max(0, Math.min(0xFFFFFFFFL, hash)) >>> 1);
    }

    /** Whether a score goes before the one at this rank; of equals the member that is first on the list. */
    private boolean before(double score, int member, int rank, int[] top) {
        return score > scores[rank] || score == scores[rank] && member < top[rank];
    }

    private int insert(int[] top, int count, int want, int member, double score) {
        int at = count < want ? count : want - 1;
        for (; at > 0 && before(score, member, at - 1, top); at--) {
            top[at] = top[at - 1];
            scores[at] = scores[at - 1];
        }
        top[at] = member;
        scores[at] = score;
        return Math.min(want, count + 1);
    }
}
