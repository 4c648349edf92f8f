package cacheproxy.fleet.lease;

/**
 * Whether this process may claim one lease, and how: the configured duration and voters, and whether the process is
 * eligible to hold leases.
 */
final class Candidacy {
    private final long selfId;
    private final LeaseTiming timing;
    private double leaseMs;
    private VoterSet voterSet;
    private boolean eligible;
    private boolean configured = true;
    private double claimsFromMs = Double.NEGATIVE_INFINITY;

    /** @throws IllegalArgumentException if the duration of the lease is out of its range */
    Candidacy(LeaseCandidateConfig config) {
        selfId = config.selfId();
        timing = config.timing();
        voterSet = config.voterSet();
        eligible = config.eligible();
        setLeaseMs(config.leaseMs());
    }

    /** The duration to claim, in milliseconds. */
    double leaseMs() {
        return leaseMs;
    }

    /**
     * Sets the duration to claim.
     *
     * @throws IllegalArgumentException if it is not from 1 ms to the longest lease; the previous duration is kept then
     */
    void setLeaseMs(double newLeaseMs) {
        if (!(newLeaseMs >= 1 && newLeaseMs <= timing.maxLeaseMs())) {
            throw new IllegalArgumentException("lease " + newLeaseMs
                    + " is not a duration in ms from 1 to the longest lease, " + timing.maxLeaseMs());
        }
        leaseMs = newLeaseMs;
    }

    /** Returns the voters, and the order in which peers claim the lease. */
    VoterSet voterSet() {
        return voterSet;
    }

    /**
     * Replaces the voters.
     *
     * <p>If the new list of peers replaces another in one step, the lease is not claimed until grants by the other
     * list's voters have expired. While both lists vote this is not needed, because any two majorities share a voter.
     */
    void setVoterSet(VoterSet newVoterSet, double nowMs) {
        if (!newVoterSet.hasSameVoters(voterSet) && !newVoterSet.isChanging()) {
            claimsFromMs = nowMs + timing.startupSilenceMs();
        }
        voterSet = newVoterSet;
    }

    /** Returns whether the configuration contains the lease. */
    boolean isConfigured() {
        return configured;
    }

    /** Sets whether the configuration contains the lease. */
    void setConfigured(boolean nowConfigured) {
        configured = nowConfigured;
    }

    /** Returns whether this process is eligible to hold leases. */
    boolean isEligible() {
        return eligible;
    }

    /** Sets whether this process is eligible to hold leases. */
    void setEligible(boolean nowEligible) {
        eligible = nowEligible;
    }

    /** Returns whether the lease may be claimed, now or once grants by former voters have expired. */
    boolean mayClaim() {
        return eligible && configured && voterSet.rank(selfId) != VoterSet.NOT_A_CANDIDATE;
    }

    /** Returns whether the lease may be claimed now. */
    boolean mayClaimAt(double nowMs) {
        return mayClaim() && nowMs >= claimsFromMs;
    }

    /** Returns when grants by former voters have expired. */
    double claimsFromMs() {
        return claimsFromMs;
    }
}
