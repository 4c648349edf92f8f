package cacheproxy.fleet.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Used by the receiver of a lease holder's actions: rejects actions with an epoch older than the highest one received.
 */
public final class FencingTokenCheck {
    /**
     * Maximum number of leases that are tracked; actions under further leases are rejected, which bounds the memory.
     */
    public static final int MAX_LEASES = 4096;

    private final Map<Long, Long> highestEpochs = new HashMap<>();

    /** Returns whether an action under this epoch may be carried out; if so, older epochs are rejected from now on. */
    public boolean accepts(long leaseId, long epoch) {
        Long highestEpoch = highestEpochs.get(leaseId);
        boolean isTooMany = highestEpoch == null && highestEpochs.size() >= MAX_LEASES;
        if (isTooMany || (highestEpoch != null && epoch < highestEpoch)) {
            return false;
        }
        highestEpochs.put(leaseId, epoch);
        return true;
    }
}
