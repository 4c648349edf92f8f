package cacheproxy.fleet.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All leases of one process: a {@link LeaseCandidate} for each lease that it is configured with, and the process's
 * votes as a {@link LeaseVoter}.
 *
 * <p>Not thread-safe. Does no I/O and reads no clock: time and messages are passed in, and messages to be sent go to a
 * {@link LeaseListener}. Code that acts under a lease must call {@link #permit} immediately before each action.
 */
public final class LeaseManager {
    /** Maximum number of leases of one process, including those that the program uses internally. */
    public static final int MAX_LEASES = 1400;

    private final long selfId;
    private final long incarnation;
    private final LeaseTiming timing;
    private final SplittableRandom random;
    private final LeaseListener listener;
    private final LeaseListener candidateListener = new LoopbackListener();
    private final LeaseVoter voter;
    private final Map<Long, String> names = new LinkedHashMap<>();
    private final Map<String, LeaseCandidate> candidates = new LinkedHashMap<>();
    /** Messages to this process's own voter, which are delivered directly and not as datagrams. */
    private final List<LeaseMessage> loopback = new ArrayList<>();

    private boolean eligible = true;

    /**
     * Creates a manager without leases, whose voter is silent at first.
     *
     * @param selfName this process's name among the peers
     * @param startMs when the process started, by the clock that all times refer to
     */
    public LeaseManager(
            String selfName, LeaseTiming timing, SplittableRandom random, double startMs, LeaseListener listener) {
        selfId = NameHash.of(selfName);
        this.timing = timing;
        this.random = random;
        incarnation = random.nextLong();
        this.listener = listener;
        voter = new LeaseVoter(timing, startMs);
    }

    /**
     * Makes this process a candidate for a lease, or continues its candidacy with another duration or other voters.
     *
     * @throws IllegalArgumentException if the duration is out of its range, there are {@value #MAX_LEASES} leases
     *     already, or another lease has the same id
     */
    public void campaign(String lease, double leaseMs, VoterSet voterSet, double nowMs) {
        LeaseCandidate known = candidates.get(lease);
        if (known != null) {
            known.configure(leaseMs, voterSet, nowMs);
            return;
        }
        long id = NameHash.of(lease);
        if (names.containsKey(id)) {
            throw new IllegalArgumentException(
                    "duties " + lease + " and " + names.get(id) + " have the same id; rename one");
        }
        if (candidates.size() >= MAX_LEASES) {
            throw new IllegalArgumentException("more than " + MAX_LEASES + " duties");
        }
        LeaseCandidateConfig config =
                new LeaseCandidateConfig(selfId, incarnation, lease, leaseMs, voterSet, timing, eligible);
        LeaseCandidate candidate = new LeaseCandidate(config, random.split(), nowMs, candidateListener);
        names.put(id, lease);
        candidates.put(lease, candidate);
    }

    /** Ends the candidacy for a lease; if the lease is held, it is released once the permitted actions have ended. */
    public void withdraw(String lease, double nowMs) {
        LeaseCandidate candidate = candidates.get(lease);
        if (candidate != null) {
            candidate.withdraw(nowMs);
        }
    }

    /** Returns the candidates for a lease by rank; empty for a lease that this process is not configured with. */
    public List<Long> candidateOrder(String lease) {
        LeaseCandidate candidate = candidates.get(lease);
        return candidate == null ? List.of() : candidate.candidateOrder();
    }

    /**
     * Handles a message from a peer.
     *
     * @param wallMs the wall clock, used only as a lower bound of new epochs
     */
    public void receive(double nowMs, long from, LeaseMessage message, long wallMs) {
        switch (message.kind()) {
            case QUERY, CLAIM, RELEASE ->
                voter.respond(nowMs, from, message).ifPresent(reply -> listener.send(from, reply));
            default -> {
                LeaseCandidate candidate = candidates.get(names.getOrDefault(message.leaseId(), ""));
                if (candidate != null) {
                    candidate.receive(nowMs, from, message, wallMs);
                }
            }
        }
        deliverToSelf(nowMs, wallMs);
    }

    /** Performs the steps that are due; returns the latest time of the next call. */
    public double tick(double nowMs, long wallMs) {
        double nextMs = Double.POSITIVE_INFINITY;
        for (LeaseCandidate candidate : candidates.values()) {
            candidate.tick(nowMs);
            deliverToSelf(nowMs, wallMs);
            nextMs = Math.min(nextMs, candidate.nextMs(nowMs));
        }
        if (candidates.values().removeIf(LeaseCandidate::isFinished)) {
            names.values().retainAll(candidates.keySet());
        }
        return nextMs;
    }

    private void deliverToSelf(double nowMs, long wallMs) {
        for (int i = 0; i < loopback.size(); i++) { // a reply may add the next message
            LeaseMessage message = loopback.get(i);
            LeaseCandidate candidate = candidates.get(names.get(message.leaseId()));
            voter.respond(nowMs, selfId, message).ifPresent(reply -> {
                if (candidate != null) {
                    candidate.receive(nowMs, selfId, reply, wallMs);
                }
            });
        }
        loopback.clear();
    }

    /** See {@link LeaseHandle#permit}; not permitted for a lease that this process is not configured with. */
    public long permit(String lease, double nowMs, double actionMs) {
        LeaseCandidate candidate = candidates.get(lease);
        return candidate == null ? LeaseHandle.NOT_PERMITTED : candidate.permit(nowMs, actionMs);
    }

    /** Returns the handle of a lease. It stays valid, and the process need not be a candidate for the lease. */
    public LeaseHandle handle(String lease) {
        return new NamedLease(lease);
    }

    /**
     * Returns the status of all leases that this process is configured with, and of removed leases that it still holds.
     */
    public List<LeaseStatus> statuses(double nowMs) {
        return candidates.values().stream()
                .map(candidate -> candidate.status(nowMs))
                .toList();
    }

    /**
     * Releases a lease once the permitted actions have ended.
     *
     * @param to the peer that is asked to claim the lease; {@link NameHash#NO_ID} if any may
     * @param reason the reason in words, for the log
     * @return whether this process holds the lease
     */
    public boolean transfer(String lease, long to, double nowMs, String reason) {
        LeaseCandidate candidate = candidates.get(lease);
        if (candidate == null || !candidate.isHolding(nowMs)) {
            return false;
        }
        candidate.scheduleRelease(LeaseLoss.requested(reason, to));
        return true;
    }

    /**
     * Sets whether this process may hold leases; a process that may not releases the leases that it holds and claims
     * none.
     *
     * @param reason the reason in words, for the log
     */
    public void setEligible(boolean nowEligible, String reason, double nowMs) {
        eligible = nowEligible;
        candidates.values().forEach(candidate -> candidate.setEligible(nowEligible, reason, nowMs));
    }

    /** For a model checker: returns whether this process's vote prevents all other peers from gaining a lease. */
    boolean reservesFor(double nowMs, String lease, long peer) {
        return voter.reservesFor(nowMs, NameHash.of(lease), peer);
    }

    /** For a model checker: returns whether a reply with this nonce is awaited. */
    boolean awaits(String lease, long nonce) {
        return candidates.containsKey(lease) && candidates.get(lease).awaits(nonce);
    }

    /** For a model checker: returns the state that determines the next steps. */
    String fingerprint(double nowMs) {
        StringBuilder text = new StringBuilder(voter.fingerprint(nowMs));
        candidates.values().forEach(candidate -> text.append('|').append(candidate.fingerprint(nowMs)));
        return text.toString();
    }

    /** The listener of the candidates: delivers messages to this process itself without the network. */
    private final class LoopbackListener implements LeaseListener {
        @Override
        public void send(long to, LeaseMessage message) {
            if (to == selfId) {
                loopback.add(message);
            } else {
                listener.send(to, message);
            }
        }

        @Override
        public void gained(String lease, long epoch) {
            listener.gained(lease, epoch);
        }

        @Override
        public void lost(String lease, long epoch, String reason) {
            listener.lost(lease, epoch, reason);
        }
    }

    private final class NamedLease implements LeaseHandle {
        private final String lease;

        NamedLease(String lease) {
            this.lease = lease;
        }

        @Override
        public long permit(double nowMs, double actionMs) {
            return LeaseManager.this.permit(lease, nowMs, actionMs);
        }

        @Override
        public double remainingMs(double nowMs) {
            LeaseCandidate candidate = candidates.get(lease);
            return candidate == null ? 0 : candidate.remainingMs(nowMs);
        }

        @Override
        public long holder(double nowMs) {
            LeaseCandidate candidate = candidates.get(lease);
            return candidate == null ? NameHash.NO_ID : candidate.holder(nowMs);
        }

        @Override
        public List<Long> candidateOrder() {
            return LeaseManager.this.candidateOrder(lease);
        }

        @Override
        public long id() {
            return NameHash.of(lease);
        }
    }
}
