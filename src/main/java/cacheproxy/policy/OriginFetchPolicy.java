package cacheproxy.policy;

import cacheproxy.siblings.Siblings;

/**
 * Decides whether a request whose next server is the origin is sent there. The origin is slow and has far less capacity
 * than the cache servers, so fetches are coalesced, siblings are queried first, and under overload fetches are
 * rejected.
 */
final class OriginFetchPolicy {
    /** What to do with the request. */
    enum Decision {
        /** Send it to the origin. */
        SEND,
        /** Do nothing: the request waits for siblings or another request's fetch, or its own fetch is in flight. */
        WAIT,
        /** Give it up. */
        GIVE_UP
    }

    private final Siblings siblings;
    private final LatencyEstimates latencies;
    private final AdaptiveThrottle throttle;
    private final FetchCoalescer coalescer;
    private final LoadShedder shedder;
    private final AttemptSender sender;

    OriginFetchPolicy(
            Siblings siblings,
            LoadEstimates estimates,
            FetchCoalescer coalescer,
            LoadShedder shedder,
            AttemptSender sender) {
        this.siblings = siblings;
        latencies = estimates.latencies();
        throttle = estimates.originThrottle();
        this.coalescer = coalescer;
        this.shedder = shedder;
        this.sender = sender;
    }

    /** Decides what to do with a request; counts it as sent if the decision is to send it. */
    Decision decide(double nowMs, PendingRequest pending, PolicyActions actions) {
        if (pending.request().write() || pending.request().key() == 0) {
            throttle.recordSent(nowMs);
            return Decision.SEND;
        }
        if (coalescer.join(pending) || querySiblings(nowMs, pending, actions)) {
            return Decision.WAIT;
        }
        double excess = throttle.excess(nowMs);
        boolean tooLate = excess > 0 && nowMs + latencies.originMs() > pending.objectiveAtMs();
        if (!tooLate) { // counting a fetch that is too late to be sent would keep the throttle closed
            throttle.recordSent(nowMs);
        }
        if (tooLate || shedder.shouldReject(pending, excess)) {
            return Decision.GIVE_UP;
        }
        coalescer.addLeader(pending);
        pending.markFetching();
        return Decision.SEND;
    }

    /** After a miss, queries siblings if that is worth the wait, at most once for a request. */
    private boolean querySiblings(double nowMs, PendingRequest pending, PolicyActions actions) {
        if (pending.isSiblingsQueried()
                || pending.missedServer() == null
                || pending.inFlightAttempts() > 0
                || !pending.leavesAttemptForOrigin()) {
            return false;
        }
        double remainingMs = Math.min(pending.objectiveAtMs(), pending.request().deadlineMs()) - nowMs;
        double waitMs = siblings.waitMs(nowMs, latencies.originMs(), remainingMs, throttle.pressure(nowMs));
        if (waitMs <= 0) {
            return false;
        }
        pending.markSiblingsQueried();
        coalescer.addLeader(pending);
        sender.waitAndRetry(waitMs, pending, actions);
        actions.querySiblings(pending.id(), waitMs);
        return true;
    }
}
