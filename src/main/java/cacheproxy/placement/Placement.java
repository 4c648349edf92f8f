package cacheproxy.placement;

import cacheproxy.policy.PolicyApi.Member;
import java.util.List;

/**
 * Which servers a key belongs to, best first. Built anew for each list of servers; from then on its answers are a
 * function of the key alone, the same at every proxy that has the same list. Free of I/O and clocks.
 */
public interface Placement {
    /**
     * The best members for a key.
     *
     * @param key the request's 64-bit key, or its id where it has none
     * @param keyHash {@link cacheproxy.policy.CarpHash#keyHash} of that key
     * @param want how many are wanted, at least 1
     * @param top takes their indexes in the list that this placement was built from, best first; holds at least
     *     {@link #most} of {@code want}
     * @return how many were put there: as many as wanted if there are so many, or up to {@code most(want)}
     */
    int rank(long key, int keyHash, int wanted, int[] ranked);

    /** The most that {@link #top} puts there when this many are wanted. */
    default int maxRanked(int wanted) {
        return wanted;
    }

    /** How many members a hot key may be spread over. */
    int maxHotKeySpread();

    /** Builds placements. */
    interface Factory {
        /** Over ready servers in ascending order of their unsigned ids; may be empty. */
        Placement create(List<Member> members);
    }
}
