package cacheproxy.fleet.lease;

/**
 * The initial configuration of a {@link LeaseCandidate}.
 *
 * @param selfId this process's id among the peers
 * @param incarnation a random number chosen at the start of this process; grants to an earlier process of the same name
 *     are not valid for this one
 * @param lease the lease's name
 * @param leaseMs the duration to claim, from 1 to {@link LeaseTiming#maxLeaseMs}
 * @param voterSet the voters, and the order in which peers claim the lease
 * @param eligible whether this process may hold leases at present
 */
record LeaseCandidateConfig(
        long selfId,
        long incarnation,
        String lease,
        double leaseMs,
        VoterSet voterSet,
        LeaseTiming timing,
        boolean eligible) {}
