package cacheproxy.fleet.quota;

import cacheproxy.fleet.lease.LeaseHandle;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases whose holders allocate the quotas, and since when this process holds each. A quota belongs to one lease.
 */
final class AllocatorLeases {
    /** Returned if this process may not grant the shared pool. */
    static final long NO_EPOCH = 0;

    /** Distributes ids evenly: 2^64 divided by the golden ratio (Knuth's multiplicative hashing). */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int HASH_SHIFT = 16;

    private final QuotaTiming timing;
    private final double startMs;
    private final Map<Integer, Double> heldSinceMs = new HashMap<>();
    private List<LeaseHandle> leases = List.of();

    /**
     * Creates an empty list.
     *
     * @param startMs when this process may first act as a holder
     */
    AllocatorLeases(QuotaTiming timing, double startMs) {
        this.timing = timing;
        this.startMs = startMs;
    }

    /** Sets the leases, which must be in the same order at all proxies. */
    void configure(List<LeaseHandle> newLeases) {
        leases = List.copyOf(newLeases);
    }

    /** Returns the number of leases. */
    int size() {
        return leases.size();
    }

    /** Returns the lease at an index. */
    LeaseHandle get(int index) {
        return leases.get(index);
    }

    /** Returns the index of the lease that a quota belongs to. */
    int indexOf(long quotaId) {
        return (int) Long.remainderUnsigned((quotaId * HASH_MULTIPLIER) >>> HASH_SHIFT, leases.size());
    }

    /** Updates which leases this process holds. */
    void tick(double nowMs) {
        for (int i = 0; i < leases.size(); i++) {
            if (leases.get(i).permit(nowMs, 0) < 0) {
                heldSinceMs.remove(i);
            } else {
                heldSinceMs.putIfAbsent(i, Math.max(nowMs, startMs));
            }
        }
    }

    /**
     * Returns the epoch under which this process may grant the shared pool of a quota; {@link #NO_EPOCH} if it may not.
     */
    long sharedPoolEpoch(QuotaSpec spec, long quotaId, double nowMs) {
        int index = indexOf(quotaId);
        Double sinceMs = heldSinceMs.get(index);
        long epoch =
                sinceMs == null ? LeaseHandle.NOT_PERMITTED : leases.get(index).permit(nowMs, 0);
        return epoch > 0 && nowMs >= sinceMs + timing.takeoverWaitMs(spec) ? epoch : NO_EPOCH;
    }
}
