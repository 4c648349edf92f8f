package cacheproxy.fleet.lease;

import java.util.HashMap;
import java.util.Map;

/** At the receiver of a holder's actions: rejects actions of an older epoch than the highest that it has seen. */
public final class FencingTokenCheck {
    /** Leases that are remembered; actions under any further lease are rejected, which bounds the memory. */
    public static final int MAX_LEASES = 4096;

    private final Map<Long, Long> highestEpochs = new HashMap<>();

    /** Whether an action under this epoch may be carried out; if so, older epochs are rejected from now on. */
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
