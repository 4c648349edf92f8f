package cacheproxy.fleet.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The voters of a lease, and the rank of each candidate for it. Both follow from the configured peers by rendezvous
 * hashing (Thaler and Ravishankar, 1998), so all processes agree on them and the load of many leases is spread.
 *
 * <p>While the list of peers is being changed, a grant needs both a majority of the old list's voters and a majority of
 * the new list's voters. So a majority for a process with the old list and one for a process with both lists share a
 * voter, and so do majorities for processes with both lists and with the new one. Therefore a list is changed in two
 * steps, the second after all processes have taken the first.
 */
public final class VoterSet {
    /** The {@link #rank} of a peer that is not a candidate. */
    public static final int NOT_A_CANDIDATE = Integer.MAX_VALUE;

    private static final String VOTER_PURPOSE = "vote";
    private static final String CANDIDATE_PURPOSE = "stand";

    private final Set<Long> currentVoters;
    private final Set<Long> previousVoters;
    private final List<Long> voters;
    private final Map<Long, Integer> ranks = new HashMap<>();

    /**
     * Chooses the voters of a lease and ranks its candidates.
     *
     * @param lease the name of the lease
     * @param peers the names of the candidates, this process's own among them, in any order; not empty
     * @param previousPeers the list that is being replaced; empty if none is
     * @param maxVoters the number of peers that vote, odd and at least 1; all peers vote if there are fewer
     * @throws IllegalArgumentException if there are no peers or no voters
     */
    public VoterSet(String lease, List<String> peers, List<String> previousPeers, int maxVoters) {
        if (peers.isEmpty() || maxVoters < 1) {
            throw new IllegalArgumentException("expected at least one peer and one voter, but found peers " + peers
                    + " and a number of voters of " + maxVoters);
        }
        currentVoters = voters(lease, peers, maxVoters);
        previousVoters = previousPeers.isEmpty() ? Set.of() : voters(lease, previousPeers, maxVoters);
        Set<Long> allVoters = new HashSet<>(currentVoters);
        allVoters.addAll(previousVoters);
        voters = allVoters.stream().sorted().toList();
        List<String> order = new ArrayList<>(peers);
        order.sort(Comparator.comparingLong(peer -> NameHash.seededHash(CANDIDATE_PURPOSE, lease, peer)));
        for (int i = 0; i < order.size(); i++) {
            ranks.put(NameHash.of(order.get(i)), i);
        }
    }

    private static Set<Long> voters(String lease, List<String> peers, int count) {
        return new HashSet<>(peers.stream()
                .distinct()
                .sorted(Comparator.comparingLong(peer -> NameHash.seededHash(VOTER_PURPOSE, lease, peer)))
                .limit(count)
                .map(NameHash::of)
                .toList());
    }

    /** Returns whether the same peers vote, in the current and in the previous list. */
    boolean hasSameVoters(VoterSet other) {
        return currentVoters.equals(other.currentVoters) && previousVoters.equals(other.previousVoters);
    }

    /** Returns whether the list of peers is being replaced, so that the voters of two lists count. */
    boolean isChanging() {
        return !previousVoters.isEmpty();
    }

    /** Returns the ids of all voters, each once, in ascending order. */
    public List<Long> voters() {
        return voters;
    }

    /** Returns whether these peers include a majority of the voters; of the voters of each list while there are two. */
    public boolean isMajority(Set<Long> peers) {
        return isMoreThanHalf(currentVoters, peers) && (!isChanging() || isMoreThanHalf(previousVoters, peers));
    }

    /** Returns whether every majority includes at least one of these peers. */
    public boolean isBlocking(Set<Long> peers) {
        return isHalf(currentVoters, peers) || (isChanging() && isHalf(previousVoters, peers));
    }

    private static boolean isMoreThanHalf(Set<Long> voters, Set<Long> peers) {
        return voters.stream().filter(peers::contains).count() * 2 > voters.size();
    }

    private static boolean isHalf(Set<Long> voters, Set<Long> peers) {
        return voters.stream().filter(peers::contains).count() * 2 >= voters.size();
    }

    /** Returns a candidate's place in the order, from 0; {@link #NOT_A_CANDIDATE} for other peers. */
    public int rank(long peer) {
        return ranks.getOrDefault(peer, NOT_A_CANDIDATE);
    }

    /** Returns the ids of the candidates by rank. */
    public List<Long> candidateOrder() {
        return ranks.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .toList();
    }
}
