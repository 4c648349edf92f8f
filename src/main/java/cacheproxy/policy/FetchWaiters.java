package cacheproxy.policy;

/** Resumes the requests that wait for another request's fetch, when the fetch has ended or will not take place. */
final class FetchWaiters {
    /** Decides on the next step of a request. */
    interface NextStep {
        /** Sends the request's next attempt, makes the request wait, or gives it up. */
        void advance(double nowMs, PendingRequest pending, PolicyActions actions);
    }

    private final FetchCoalescer coalescer;
    private final EndpointList endpoints;
    private final AttemptSender sender;
    private final NextStep nextStep;

    FetchWaiters(FetchCoalescer coalescer, EndpointList endpoints, AttemptSender sender, NextStep nextStep) {
        this.coalescer = coalescer;
        this.endpoints = endpoints;
        this.sender = sender;
        this.nextStep = nextStep;
    }

    /** Resumes the requests that wait for a leader, if the leader has ended and will not fetch. */
    void release(double nowMs, PendingRequest pending, PolicyActions actions) {
        if (pending.isConcluded() && pending.isLeading() && !pending.isFetching() && pending.inFlightAttempts() == 0) {
            resume(nowMs, pending, false, actions);
        }
    }

    /**
     * Resumes the requests that wait for a leader, if the attempt of the leader that has ended was the fetch that they
     * wait for.
     */
    void fetchEnded(double nowMs, PendingRequest leader, ServerState server, boolean succeeded, PolicyActions actions) {
        if (endpoints.isOrigin(server)) {
            resume(nowMs, leader, succeeded, actions);
        } else if (succeeded && endpoints.isSibling(server)) {
            fetchFromSibling(nowMs, leader, server, actions);
        }
    }

    /**
     * Resumes waiting requests, which find a fetched object at the server that missed it; after a failed fetch the
     * first of them fetches.
     */
    private void resume(double nowMs, PendingRequest leader, boolean stored, PolicyActions actions) {
        for (PendingRequest waiter : coalescer.removeLeader(leader)) {
            if (!waiter.isConcluded() && waiter.isWaiting()) {
                waiter.setOriginOnly(!stored || !waiter.leavesAttemptForOrigin());
                nextStep.advance(nowMs, waiter, actions);
            }
        }
    }

    /**
     * Sends each waiting request to the sibling, because an object that a sibling served is not stored at this proxy's
     * servers.
     */
    private void fetchFromSibling(double nowMs, PendingRequest leader, ServerState sibling, PolicyActions actions) {
        for (PendingRequest waiter : coalescer.removeLeader(leader)) {
            if (!waiter.isConcluded() && waiter.isWaiting() && waiter.attemptsLeft() > 0) {
                waiter.setWaiting(false);
                waiter.markSiblingsQueried();
                sender.send(nowMs, waiter, sibling, actions);
            }
        }
    }
}
