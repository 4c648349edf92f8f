package cacheproxy.fleet.quota;

import java.util.function.LongPredicate;

/**
 * Dependencies that a proxy's requests for capacity and its role as allocator have in common.
 *
 * @param selfId this process's id among the peers
 * @param ledgerId the id of this process's ledger; donations and grants contain the id of the ledger that they belong
 *     to
 * @param ids generates the ids of requests and solicitations
 * @param isLikelyAlive whether a peer may be alive
 */
record AllocationContext(
        long selfId,
        long ledgerId,
        QuotaTiming timing,
        RequestIds ids,
        AllocatorLeases leases,
        LongPredicate isLikelyAlive) {}
