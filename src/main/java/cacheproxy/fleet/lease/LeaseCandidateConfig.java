package cacheproxy.fleet.lease;

/**
 * What a {@link LeaseCandidate} starts with.
 *
 * @param selfId this process's id among the peers
 * @param incarnation drawn at the start of this process: a grant to an earlier process of the same name is another's
 * @param lease the lease's name
 * @param leaseMs the duration to claim, from 1 to {@link LeaseTiming#maxLeaseMs}
 * @param voterSet who votes, and in which order peers claim the lease
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
