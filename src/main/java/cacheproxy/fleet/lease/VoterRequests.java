package cacheproxy.fleet.lease;

import cacheproxy.fleet.lease.LeaseMessage.Kind;
import java.util.SplittableRandom;

/**
 * Sends the messages of one candidate: its requests to the voters of a lease, of which one is open at a time, releases
 * and transfers.
 */
final class VoterRequests {
    private final long selfId;
    private final long incarnation;
    private final long leaseId;
    private final Candidacy candidacy;
    private final VoteCount votes;
    private final SplittableRandom random;
    private final LeaseListener listener;

    /** @param votes counts the replies to the open request */
    VoterRequests(
            LeaseCandidateConfig config,
            Candidacy candidacy,
            VoteCount votes,
            SplittableRandom random,
            LeaseListener listener) {
        selfId = config.selfId();
        incarnation = config.incarnation();
        leaseId = NameHash.of(config.lease());
        this.candidacy = candidacy;
        this.votes = votes;
        this.random = random;
        this.listener = listener;
    }

    /** Asks the voters whether they would grant a claim, which does not change their state. */
    void query(double nowMs) {
        votes.clearReports();
        sendRequest(nowMs, Kind.QUERY, 0, 0);
    }

    /** Claims the lease, or renews the grant, for the configured duration. */
    void claim(double nowMs, long epoch) {
        sendRequest(nowMs, Kind.CLAIM, epoch, (int) candidacy.leaseMs());
    }

    private void sendRequest(double nowMs, Kind kind, long epoch, int claimedMs) {
        long nonce = random.nextLong();
        votes.open(nonce, nowMs, (int) candidacy.leaseMs());
        sendToVoters(new LeaseMessage(kind, leaseId, nonce, epoch, incarnation, claimedMs));
    }

    /** Releases grants that voters may have made, and ignores replies that are still in flight. */
    void release(long epoch) {
        votes.close();
        sendToVoters(new LeaseMessage(Kind.RELEASE, leaseId, 0, epoch, incarnation, 0));
    }

    /** Asks a peer to claim the lease; the message is sent only once. */
    void transferTo(long successor, long epoch) {
        listener.send(successor, new LeaseMessage(Kind.TRANSFER, leaseId, 0, epoch, selfId, 0));
    }

    private void sendToVoters(LeaseMessage message) {
        candidacy.voterSet().voters().forEach(voter -> listener.send(voter, message));
    }
}
