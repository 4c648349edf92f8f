package damsonworks.placement;

import damsonworks.Carp;
import damsonworks.RoutingApi.Member;
import java.util.List;

/**
 * CARP's ranking (draft-vinod-carp-v1-03, section 3.4). Every member is scored for every key, so the scan is
 * what counts: hashes first, block by block in a loop without branches that the compiler turns into vector
 * code, then a comparison that in most cases fails. The answers are those of scoring one after another.
 */
public final class CarpPlacement implements Placement {
    /** Hashes of one block, 1 KiB: they stay in the first-level cache between the two loops. */
    private static final int BLOCK = 256;

    private final int[] hashes;
    private final double[] multipliers;
    private final int[] block = new int[BLOCK];
    private double[] scores = new double[16];

    /** Over members in the order of their ids; their weights need not sum to 1. */
    public CarpPlacement(List<Member> members) {
        int n = members.size();
        hashes = new int[n];
        multipliers = new double[n];
        float[] weights = new float[n];
        for (int i = 0; i < n; i++) {
            hashes[i] = Carp.memberHash(members.get(i).id());
            weights[i] = members.get(i).weight();
        }
        float[] x = Carp.multipliers(weights);
        for (int i = 0; i < n; i++) {
            multipliers[i] = x[i];
        }
    }

    @Override
    public int spreadable() {
        return hashes.length;
    }

    @Override
    public int top(long key, int keyHash, int want, int[] top) {
        if (scores.length < want) {
            scores = new double[want];
        }
        int count = 0;
        for (int from = 0; from < hashes.length; from += BLOCK) {
            int n = Math.min(BLOCK, hashes.length - from);
            for (int i = 0; i < n; i++) {
                block[i] = Carp.combine(keyHash, hashes[from + i]);
            }
            for (int i = 0; i < n; i++) {
                double score = (block[i] & 0xFFFFFFFFL) * multipliers[from + i];
                // Of equals the first stays ahead, as in a stable sort.
                if (count < want || score > scores[want - 1]) {
                    count = insert(top, count, want, from + i, score);
                }
            }
        }
        return count;
    }

    private int insert(int[] top, int count, int want, int member, double score) {
        int at = count < want ? count : want - 1;
        for (; at > 0 && scores[at - 1] < score; at--) {
            top[at] = top[at - 1];
            scores[at] = scores[at - 1];
        }
        top[at] = member;
        scores[at] = score;
        return Math.min(want, count + 1);
    }
}
