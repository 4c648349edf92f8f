package cacheproxy.placement;

/**
 * Ranks the servers of one list for a key, best first. The ranking is a function of the list and the key alone, so it
 * is the same at every proxy that has the same list.
 */
public interface Placement {
    /**
     * Ranks the best members for a key.
     *
     * @param key the request's 64-bit key, or the request's id if it has no key
     * @param keyHash {@link cacheproxy.policy.CarpHash#keyHash} of that key
     * @param wanted how many members are wanted, at least 1
     * @param ranked receives the members' indexes in the list that this placement was built from, best first; has room
     *     for at least {@link #maxRanked maxRanked(wanted)}
     * @return how many were ranked: {@code wanted} if there are that many members, or up to {@code maxRanked(wanted)}
     */
    int rank(long key, int keyHash, int wanted, int[] ranked);

    /** Returns the maximum number of indexes that {@link #rank} writes for {@code wanted}. */
    default int maxRanked(int wanted) {
        return wanted;
    }

    /** Returns how many members the requests of a hot key may be spread over. */
    int maxHotKeySpread();
}
