package cacheproxy.fleet.quota;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongPredicate;

/**
 * Selects the peer that a proxy requests capacity from: the holder of the allocator lease, or the first candidate for
 * it that has not failed to reply recently. Any peer may act as allocator, so a wrong choice costs time and does not
 * affect safety.
 */
final class AllocatorSelector {
    /** A request without a reply is overdue after this fraction of the request interval. */
    private static final double REPLY_TIMEOUT_INTERVALS = 0.5;
    /** A peer that did not reply is ejected for this many durations of a grant. */
    private static final double EJECTION_GRANTS = 3;

    private final long selfId;
    private final QuotaTiming timing;
    private final SentRequests requests;
    private final LongPredicate isLikelyAlive;
    private final Map<Long, Double> lastMessageMs = new HashMap<>();
    private final Map<Long, Double> ejectedUntilMs = new HashMap<>();

    /**
     * Creates a selector that has received no messages.
     *
     * @param requests this process's requests for capacity
     * @param isLikelyAlive whether a peer may be alive
     */
    AllocatorSelector(long selfId, QuotaTiming timing, SentRequests requests, LongPredicate isLikelyAlive) {
        this.selfId = selfId;
        this.timing = timing;
        this.requests = requests;
        this.isLikelyAlive = isLikelyAlive;
    }

    /** Records the arrival of a message from a peer. */
    void recordMessage(long peer, double nowMs) {
        lastMessageMs.put(peer, nowMs);
        ejectedUntilMs.remove(peer);
    }

    /** Returns the peer to request from; this process itself if no other peer is available. */
    long select(LeaseHandle lease, double nowMs) {
        long holder = holder(lease, nowMs);
        // The voters have reported this holder recently, so only its reply may have been lost: it is ejected for a
        // short time.
        if (holder != NameHash.NO_ID && isResponsive(holder, timing.requestIntervalMs(), nowMs)) {
            return holder;
        }
        for (long peer : lease.candidateOrder()) {
            if (isResponsive(peer, EJECTION_GRANTS * timing.grantMs(), nowMs)) {
                return peer;
            }
        }
        return selfId;
    }

    /**
     * Returns the holder of the lease, for a quota of which no other peer can grant anything; {@code defaultPeer} if
     * the holder is unknown.
     */
    long holderOrElse(LeaseHandle lease, long defaultPeer, double nowMs) {
        long holder = holder(lease, nowMs);
        return holder == NameHash.NO_ID ? defaultPeer : holder;
    }

    private long holder(LeaseHandle lease, double nowMs) {
        return lease.permit(nowMs, 0) >= 0 ? selfId : lease.holder(nowMs);
    }

    private boolean isResponsive(long peer, double ejectionMs, double nowMs) {
        if (peer == selfId) {
            return true;
        }
        Double untilMs = ejectedUntilMs.get(peer);
        if ((untilMs != null && nowMs < untilMs) || !isLikelyAlive.test(peer)) {
            return false;
        }
        double sentMs = requests.oldestSentMs(peer);
        boolean isOverdue = nowMs - sentMs > timing.requestIntervalMs() * REPLY_TIMEOUT_INTERVALS
                && lastMessageMs.getOrDefault(peer, Double.NEGATIVE_INFINITY) < sentMs;
        if (isOverdue) {
            ejectedUntilMs.put(peer, nowMs + ejectionMs);
        }
        return !isOverdue;
    }
}
