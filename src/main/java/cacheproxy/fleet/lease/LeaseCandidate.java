package cacheproxy.fleet.lease;

import cacheproxy.fleet.lease.LeaseMessage.Kind;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The state of one lease at one process, as candidate and as holder.
 *
 * <p>A candidate first queries the voters, which changes nothing there, and claims the lease only if a majority would
 * grant it. Voters reject claims while the grant of another holder is valid. So a process that repeatedly starts and
 * stops does not disturb the holder.
 */
final class LeaseCandidate {
    private enum State {
        /** Waits for the time of its next query. */
        IDLE,
        /** Has asked the voters whether they would grant a claim. */
        QUERYING,
        /** Has claimed the lease and waits for a majority of grants. */
        CLAIMING,
        /** Is the holder, and renews its grant. */
        HOLDING
    }

    private final long selfId;
    private final String lease;
    private final LeaseTiming timing;
    private final LeaseDelays delays;
    private final LeaseListener listener;
    private final Candidacy candidacy;
    private final VoteCount votes = new VoteCount();
    private final VoterRequests requests;
    private final HeldLease held;
    private State state = State.IDLE;
    /** When the timer of the current state expires. */
    private double timerMs;

    private long epoch;
    private long lastKnownHolder = NameHash.NO_ID;
    private double transferRetryUntilMs = Double.NEGATIVE_INFINITY;

    /** @throws IllegalArgumentException if the duration of the lease is out of its range */
    LeaseCandidate(LeaseCandidateConfig config, SplittableRandom random, double nowMs, LeaseListener listener) {
        candidacy = new Candidacy(config);
        selfId = config.selfId();
        lease = config.lease();
        timing = config.timing();
        this.listener = listener;
        delays = new LeaseDelays(selfId, candidacy, random);
        requests = new VoterRequests(config, candidacy, votes, random, listener);
        held = new HeldLease(timing);
        timerMs = nowMs + delays.staggerMs();
    }

    // ---- changes of configuration and eligibility

    /**
     * Configures the lease with this duration and these voters. A holder renews its grant with the new voters; for a
     * candidate see {@link Candidacy#setVoterSet}.
     *
     * @throws IllegalArgumentException if the duration is out of its range; the previous configuration is kept then
     */
    void configure(double newLeaseMs, VoterSet newVoterSet, double nowMs) {
        candidacy.setLeaseMs(newLeaseMs);
        candidacy.setConfigured(true);
        if (!newVoterSet.hasSameVoters(candidacy.voterSet())) {
            abandonOpenRequest(nowMs); // the replies would come from the former voters
        }
        candidacy.setVoterSet(newVoterSet, nowMs);
        if (!candidacy.mayClaim()) {
            abandonOpenRequest(nowMs);
            List<Long> order = newVoterSet.candidateOrder();
            scheduleRelease(LeaseLoss.notAPeer(order.isEmpty() ? NameHash.NO_ID : order.get(0)));
        }
    }

    /** Handles the removal of the lease from the configuration. */
    void withdraw(double nowMs) {
        candidacy.setConfigured(false);
        abandonOpenRequest(nowMs);
        scheduleRelease(LeaseLoss.NOT_CONFIGURED);
    }

    /** Returns whether the lease is neither configured nor held, so that this candidate can be removed. */
    boolean isFinished() {
        return !candidacy.isConfigured() && state == State.IDLE;
    }

    /** Sets whether this process may hold leases; a process that may not releases its grant and makes no claims. */
    void setEligible(boolean nowEligible, String reason, double nowMs) {
        candidacy.setEligible(nowEligible);
        if (!nowEligible) {
            abandonOpenRequest(nowMs);
            scheduleRelease(LeaseLoss.requested(reason, NameHash.NO_ID));
        }
    }

    /** Releases a held lease as soon as the permitted actions have ended. */
    void scheduleRelease(LeaseLoss loss) {
        if (state == State.HOLDING) {
            held.planLoss(loss);
        }
    }

    private void abandonOpenRequest(double nowMs) {
        if (state == State.QUERYING || state == State.CLAIMING) {
            abandonClaim(nowMs);
        }
    }

    // ---- queries

    /** See {@link LeaseHandle#permit}. */
    long permit(double nowMs, double actionMs) {
        return state == State.HOLDING && held.permit(nowMs, actionMs) ? epoch : LeaseHandle.NOT_PERMITTED;
    }

    /** Returns whether this process may act as the holder now. */
    boolean isHolding(double nowMs) {
        return permit(nowMs, 0) >= 0;
    }

    /** See {@link LeaseHandle#remainingMs}. */
    double remainingMs(double nowMs) {
        return state == State.HOLDING ? held.remainingMs(nowMs) : 0;
    }

    /** See {@link LeaseHandle#holder}. */
    long holder(double nowMs) {
        return isHolding(nowMs) ? selfId : lastKnownHolder;
    }

    /** Returns the ids of the candidates by rank. */
    List<Long> candidateOrder() {
        return candidacy.voterSet().candidateOrder();
    }

    /** Returns the status of the lease as known to this process. */
    LeaseStatus status(double nowMs) {
        return new LeaseStatus(lease, isHolding(nowMs), epoch, remainingMs(nowMs), holder(nowMs));
    }

    // ---- timers

    /** Returns the latest time at which {@link #tick} must be called. */
    double nextMs(double nowMs) {
        return state == State.HOLDING ? held.nextMs(nowMs, timerMs) : timerMs;
    }

    /** Performs the steps that are due. */
    void tick(double nowMs) {
        if (state == State.HOLDING) {
            tickHolder(nowMs);
        } else if (nowMs >= timerMs) {
            onTimeout(nowMs);
        }
    }

    private void onTimeout(double nowMs) {
        switch (state) {
            case IDLE -> {
                if (candidacy.mayClaimAt(nowMs)) {
                    query(nowMs);
                } else {
                    timerMs = Math.max(candidacy.claimsFromMs(), nowMs + candidacy.leaseMs());
                }
            }
            case QUERYING ->
                becomeIdle(nowMs < transferRetryUntilMs ? delays.transferRetryAtMs(nowMs) : delays.retryAtMs(nowMs));
            default -> abandonClaim(nowMs);
        }
    }

    private void tickHolder(double nowMs) {
        if (held.isExpired(nowMs)) {
            lose(nowMs, held.plannedLoss().orElse(LeaseLoss.NOT_RENEWED));
        } else if (held.isReadyToEnd(nowMs)) {
            LeaseLoss loss = held.plannedLoss().orElseThrow();
            lose(nowMs, loss);
            transferTo(loss.successor(), nowMs);
        } else if (!held.isEnding() && nowMs >= timerMs) {
            requests.claim(nowMs, epoch);
            timerMs = nowMs + delays.renewalIntervalMs();
        }
    }

    // ---- transitions

    private void query(double nowMs) {
        state = State.QUERYING;
        requests.query(nowMs);
        timerMs = nowMs + delays.replyTimeoutMs();
    }

    private void claim(double nowMs, long wallMs) {
        state = State.CLAIMING;
        lastKnownHolder = NameHash.NO_ID;
        epoch = timing.nextEpoch(Math.max(votes.highestEpoch(), epoch), wallMs);
        requests.claim(nowMs, epoch);
        timerMs = nowMs + delays.replyTimeoutMs();
    }

    private void gain() {
        state = State.HOLDING;
        lastKnownHolder = selfId;
        timerMs = votes.sentMs() + delays.renewalIntervalMs();
        listener.gained(lease, epoch);
    }

    private void lose(double nowMs, LeaseLoss loss) {
        state = State.IDLE;
        held.clear();
        lastKnownHolder = loss.successor();
        if (loss.reason().isReleased()) {
            requests.release(epoch);
        }
        timerMs = delays.afterLossAtMs(nowMs);
        listener.lost(lease, epoch, loss.logText());
    }

    private void transferTo(long successor, double nowMs) {
        if (successor != NameHash.NO_ID && successor != selfId) {
            requests.transferTo(successor, epoch);
            timerMs = nowMs + candidacy.leaseMs(); // leaves the successor time to claim the lease
        }
    }

    private void becomeIdle(double untilMs) {
        state = State.IDLE;
        votes.close();
        timerMs = untilMs;
    }

    /** Releases grants that voters may have made, because a claim without a majority must not block others. */
    private void abandonClaim(double nowMs) {
        requests.release(epoch);
        becomeIdle(delays.retryAtMs(nowMs));
    }

    // ---- messages from peers

    /**
     * Handles a message to this candidate.
     *
     * @param wallMs the wall clock, used only as a lower bound of new epochs
     */
    void receive(double nowMs, long from, LeaseMessage message, long wallMs) {
        if (message.kind() == Kind.TRANSFER) {
            onTransfer(nowMs);
            return;
        }
        if (!votes.awaits(message.nonce()) || !candidacy.voterSet().voters().contains(from)) {
            return;
        }
        switch (message.kind()) {
            case STATUS -> onStatus(nowMs, from, message, wallMs);
            case GRANT -> onGrant(nowMs, from, message);
            case REJECT -> onReject(nowMs, from, message);
            default -> {
                // the voter replies to requests
            }
        }
    }

    /**
     * Starts a query even if one is in flight, because the transfer is sent only once and replies to the query in
     * flight show the state before the release.
     */
    private void onTransfer(double nowMs) {
        boolean mayQuery = state == State.IDLE || state == State.QUERYING;
        if (mayQuery && candidacy.mayClaimAt(nowMs)) {
            transferRetryUntilMs = nowMs + candidacy.leaseMs() / 2;
            query(nowMs);
        }
    }

    private void onStatus(double nowMs, long from, LeaseMessage status, long wallMs) {
        if (state != State.QUERYING) {
            return;
        }
        votes.report(from, status);
        if (votes.isGranted(candidacy.voterSet())) {
            claim(nowMs, wallMs);
        } else if (votes.isRejected(candidacy.voterSet())) {
            lastKnownHolder = votes.reportedHolder();
            becomeIdle(
                    nowMs < transferRetryUntilMs
                            ? delays.transferRetryAtMs(nowMs)
                            : delays.nextQueryAtMs(nowMs, votes.remainingMs()));
        }
    }

    private void onGrant(double nowMs, long from, LeaseMessage grant) {
        if (grant.epoch() != epoch || (state != State.CLAIMING && state != State.HOLDING)) {
            return;
        }
        votes.grant(from);
        double untilMs = votes.sentMs() + timing.holderLeaseMs(votes.claimedMs());
        if (!votes.isGranted(candidacy.voterSet()) || untilMs <= nowMs) {
            return;
        }
        held.extend(untilMs);
        if (state == State.CLAIMING) {
            gain();
        }
    }

    private void onReject(double nowMs, long from, LeaseMessage rejection) {
        if (state != State.CLAIMING) {
            return;
        }
        votes.reject(from, rejection.epoch());
        if (votes.isRejected(candidacy.voterSet())) {
            abandonClaim(nowMs);
        }
    }

    // ---- for a model checker

    /** Returns whether a reply with this nonce is awaited. */
    boolean awaits(long nonce) {
        return votes.awaits(nonce);
    }

    /** Returns the state that determines the next step. */
    String fingerprint(double nowMs) {
        return state + " " + Math.round(Math.max(-1, timerMs - nowMs)) + " " + votes.fingerprint(nowMs) + " " + epoch
                + " " + held.fingerprint(nowMs) + " " + candidacy.isEligible();
    }
}
