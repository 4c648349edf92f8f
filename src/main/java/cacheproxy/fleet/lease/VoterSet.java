package cacheproxy.fleet.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Who votes on a duty, and in which order peers stand for it: both by lots over the configured peers (rendezvous
 * hashing: Thaler and Ravishankar, 1998) that all draw alike, so that many duties spread over all.
 *
 * <p>While the list of peers changes, voters of the old and of the new one count, and a grant needs a majority of both:
 * a process that goes by the old list alone and one that goes by both share a voter, as do one that goes by both and
 * one that goes by the new. So a list is changed in two steps, and the second only after all have taken the first.
 */
public final class VoterSet {
    private final Set<Long> now;
    private final Set<Long> before;
    private final List<Long> all;
    private final Map<Long, Integer> ranks = new HashMap<>();

    /**
     * @param peers names, this process's own among them; in any order
     * @param peersBefore the names of the list that is being left; empty if none is
     * @param voters how many vote, an odd number; all where there are fewer peers
     */
    public VoterSet(String duty, List<String> peers, List<String> peersBefore, int voters) {
        if (peers.isEmpty() || voters < 1) {
            throw new IllegalArgumentException("peers " + peers + ", voters " + voters);
        }
        now = voters(duty, peers, voters);
        before = peersBefore.isEmpty() ? Set.of() : voters(duty, peersBefore, voters);
        Set<Long> both = new HashSet<>(now);
        both.addAll(before);
        all = both.stream().sorted().toList();
        List<String> order = new ArrayList<>(peers);
        order.sort(Comparator.comparingLong(p -> NameHash.lot("stand", duty, p)));
        for (int i = 0; i < order.size(); i++) {
            ranks.put(NameHash.of(order.get(i)), i);
        }
    }

    private static Set<Long> voters(String duty, List<String> peers, int count) {
        return new HashSet<>(peers.stream()
                .distinct()
                .sorted(Comparator.comparingLong(p -> NameHash.lot("vote", duty, p)))
                .limit(count)
                .map(NameHash::of)
                .toList());
    }

    /** Whether the same vote in both. */
    boolean votesAs(VoterSet other) {
        return now.equals(other.now) && before.equals(other.before);
    }

    /** Whether two lists vote. */
    boolean isChanging() {
        return !before.isEmpty();
    }

    /** All who vote, each once. */
    public List<Long> voters() {
        return all;
    }

    /** Whether these are a majority, of both lists while there are two. */
    public boolean isMajority(Set<Long> of) {
        return most(now, of) && (before.isEmpty() || most(before, of));
    }

    /** Whether no majority can do without these. */
    public boolean blocks(Set<Long> of) {
        return half(now, of) || !before.isEmpty() && half(before, of);
    }

    private static boolean most(Set<Long> voters, Set<Long> of) {
        return voters.stream().filter(of::contains).count() * 2 > voters.size();
    }

    private static boolean half(Set<Long> voters, Set<Long> of) {
        return voters.stream().filter(of::contains).count() * 2 >= voters.size();
    }

    /** Its place in the order in which peers stand, from 0; the last for one who may not. */
    public int rank(long peer) {
        return ranks.getOrDefault(peer, Integer.MAX_VALUE);
    }

    /** Peers in that order. */
    public List<Long> order() {
        return ranks.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .toList();
    }
}
