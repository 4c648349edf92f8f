package cacheproxy.fleet.quota;

import java.util.function.LongPredicate;

/**
 * What a proxy's requests and its role as allocator share.
 *
 * @param selfId this process's id among the peers
 * @param ledgerId of this process: donations and grants name the ledger that they belong to
 * @param ids numbers requests and solicitations
 * @param isLikelyAlive whether a peer may be alive
 */
record AllocationContext(
        long selfId,
        long ledgerId,
        QuotaTiming timing,
        RequestIds ids,
        AllocatorLeases leases,
        LongPredicate isLikelyAlive) {}
