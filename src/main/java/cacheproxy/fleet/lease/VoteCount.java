package cacheproxy.fleet.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Counts the voters' replies to a candidate's open request: a query, a claim or a renewal. */
final class VoteCount {
    /** The nonce while no request is open. */
    private static final long CLOSED = 0;

    private final Set<Long> grantedBy = new HashSet<>();
    private final Set<Long> rejectedBy = new HashSet<>();
    private final Map<Long, Long> holderByVoter = new HashMap<>();
    private long nonce = CLOSED;
    private double sentMs;
    /** In whole milliseconds, as sent to the voters: a holder must not count a longer lease than they do. */
    private int claimedMs;

    private long highestEpoch;
    private double remainingMs;

    /** Opens a request and discards the votes on the previous one. */
    void open(long requestNonce, double nowMs, int leaseMs) {
        nonce = requestNonce;
        sentMs = nowMs;
        claimedMs = leaseMs;
        grantedBy.clear();
        rejectedBy.clear();
    }

    /**
     * Discards the voters' reports; to be called before a query only, because a claim that follows a query uses its
     * reports.
     */
    void clearReports() {
        highestEpoch = 0;
        remainingMs = 0;
        holderByVoter.clear();
    }

    /** Closes the open request; replies that are still in flight are ignored. */
    void close() {
        nonce = CLOSED;
    }

    /** Returns whether this is the nonce of the open request. */
    boolean awaits(long replyNonce) {
        return replyNonce != CLOSED && replyNonce == nonce;
    }

    /** Counts a granted claim. */
    void grant(long voter) {
        grantedBy.add(voter);
    }

    /** Counts a rejected claim. */
    void reject(long voter, long epoch) {
        rejectedBy.add(voter);
        highestEpoch = Math.max(highestEpoch, epoch);
    }

    /** Counts a reply to a query: a grant if the voter knows of no other holder, else a rejection. */
    void report(long voter, LeaseMessage status) {
        highestEpoch = Math.max(highestEpoch, status.epoch());
        if (status.holder() == NameHash.NO_ID) {
            grantedBy.add(voter);
            return;
        }
        rejectedBy.add(voter);
        holderByVoter.put(voter, status.holder());
        remainingMs = Math.max(remainingMs, status.durationMs());
    }

    /** Returns whether a majority has granted the request. */
    boolean isGranted(VoterSet voterSet) {
        return voterSet.isMajority(grantedBy);
    }

    /** Returns whether so many voters have rejected the request that no majority can grant it. */
    boolean isRejected(VoterSet voterSet) {
        return voterSet.isBlocking(rejectedBy);
    }

    /** Returns when the request was sent. */
    double sentMs() {
        return sentMs;
    }

    /** Returns the duration that the open claim requests. */
    int claimedMs() {
        return claimedMs;
    }

    /** Returns the highest epoch that any voter has reported. */
    long highestEpoch() {
        return highestEpoch;
    }

    /** Returns the longest time left of another holder's grant that any voter has reported. */
    double remainingMs() {
        return remainingMs;
    }

    /** Returns the holder that most voters have reported; {@link NameHash#NO_ID} if none has reported one. */
    long reportedHolder() {
        Map<Long, Integer> counts = new HashMap<>();
        holderByVoter.values().forEach(holder -> counts.merge(holder, 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(NameHash.NO_ID);
    }

    /** Returns the state that determines the candidate's next step, for a model checker. */
    String fingerprint(double nowMs) {
        return (nonce != CLOSED) + " " + Math.round(Math.max(-5000, sentMs - nowMs)) + " " + new TreeSet<>(grantedBy)
                + new TreeSet<>(rejectedBy) + " " + highestEpoch;
    }
}
