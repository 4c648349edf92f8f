package cacheproxy.fleet.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Counts the voters' replies to the one question of a candidate that is open: a query, a claim or a renewal. */
final class VoteCount {
    /** The nonce of no question. */
    private static final long CLOSED = 0;

    private final Set<Long> grantedBy = new HashSet<>();
    private final Set<Long> rejectedBy = new HashSet<>();
    private final Map<Long, Long> holderByVoter = new HashMap<>();
    private long nonce = CLOSED;
    private double sentMs;
    /** In whole milliseconds, as the voters are told: a holder must not count a longer lease than they do. */
    private int claimedMs;

    private long highestEpoch;
    private double remainingMs;

    /** Opens a question and forgets the votes on the one before. */
    void open(long requestNonce, double nowMs, int leaseMs) {
        nonce = requestNonce;
        sentMs = nowMs;
        claimedMs = leaseMs;
        grantedBy.clear();
        rejectedBy.clear();
    }

    /** Forgets what voters have reported; a claim that follows a query builds on its reports. */
    void clearReports() {
        highestEpoch = 0;
        remainingMs = 0;
        holderByVoter.clear();
    }

    /** Ignores replies that are still on their way. */
    void close() {
        nonce = CLOSED;
    }

    /** Whether this is the nonce of the open question. */
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

    /** Whether a majority has granted the question. */
    boolean isGranted(VoterSet voterSet) {
        return voterSet.isMajority(grantedBy);
    }

    /** Whether so many voters have rejected the question that no majority can grant it. */
    boolean isRejected(VoterSet voterSet) {
        return voterSet.isBlocking(rejectedBy);
    }

    /** When the question was sent. */
    double sentMs() {
        return sentMs;
    }

    /** The duration that the open claim asks for. */
    int claimedMs() {
        return claimedMs;
    }

    /** The highest epoch that any voter has reported. */
    long highestEpoch() {
        return highestEpoch;
    }

    /** The longest time that is left of another's grant at any voter. */
    double remainingMs() {
        return remainingMs;
    }

    /** The holder that most voters have named; {@link NameHash#NOBODY} if none has named any. */
    long reportedHolder() {
        Map<Long, Integer> counts = new HashMap<>();
        holderByVoter.values().forEach(holder -> counts.merge(holder, 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(NameHash.NO_ID);
    }

    /** What decides the candidate's next step, for a model checker. */
    String fingerprint(double nowMs) {
        return (nonce != CLOSED) + " " + Math.round(Math.max(-5000, sentMs - nowMs)) + " " + new TreeSet<>(grantedBy)
                + new TreeSet<>(rejectedBy) + " " + highestEpoch;
    }
}
