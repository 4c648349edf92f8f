package cacheproxy.proxy.dispatch;

import cacheproxy.invariant.Invariant;
import cacheproxy.invariant.SendGuard;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.PoolProtocol;
import cacheproxy.proxy.upstream.Upstream;

/**
 * Starts the attempts of a pool's requests, and checks each right before its first byte is written. Used on the event
 * loop only.
 */
final class RequestAttempts {
    private final EventLoopContext loopContext;
    private final PoolServices pool;
    private final AttemptResultHandler results;
    private final PoolProtocol protocol;
    private final SendGuard sendGuard;

    RequestAttempts(PoolServices pool, AttemptResultHandler results, PoolProtocol protocol) {
        this.pool = pool;
        this.results = results;
        this.protocol = protocol;
        loopContext = pool.loopContext();
        sendGuard = new SendGuard(pool.settings().drainGraceMs());
    }

    /**
     * Sends an attempt of a request to a server. An attempt that cannot be sent ends with an event after the current
     * one.
     *
     * @param timeoutMs how long to wait for the server; 0 to wait until the request's deadline
     */
    void send(RequestContext context, int server, double timeoutMs) {
        double nowMs = loopContext.nowMs();
        double leftMs = context.dueMs() - nowMs;
        double waitMs = timeoutMs == 0 ? leftMs : Math.min(timeoutMs, leftMs);
        RequestAttempt attempt = new RequestAttempt(this, context, server, nowMs, nowMs + waitMs);
        context.attemptStarted(attempt);
        if (pool.servers().find(server) == null
                || waitMs <= 0
                || attempt.index() >= pool.settings().maxAttempts()) {
            pool.policy().run(() -> attempt.onEnd(AttemptOutcome.NOT_SENT));
            return;
        }
        if (waitMs < leftMs) {
            attempt.expireAfter(loopContext, waitMs);
        }
        limitToDeduplicationWindow(context, attempt);
        sendOnceAllowed(attempt);
    }

    /**
     * Sends an attempt. Where a request may have one attempt in flight only, the attempt waits until an earlier one,
     * also one in another pool, has been answered or its connection has closed.
     */
    private void sendOnceAllowed(RequestAttempt attempt) {
        ClientRequest request = attempt.context().request();
        if (hedgingAllowed() || !request.hasOutstandingAttempt()) {
            sendNow(attempt);
        } else {
            request.whenNoneOutstanding(() -> pool.policy().run(() -> sendHeld(attempt)));
        }
    }

    private void sendHeld(RequestAttempt attempt) {
        if (!attempt.hasEnded()) {
            attempt.heldUntil(loopContext.nowMs());
            sendOnceAllowed(attempt);
        }
    }

    private void sendNow(RequestAttempt attempt) {
        Upstream upstream = pool.servers().find(attempt.server());
        if (upstream == null) {
            pool.policy().run(() -> attempt.onEnd(AttemptOutcome.NOT_SENT));
        } else if (!upstream.send(attempt)) {
            // A shortage of connections in this process is no sign that the cache server is unhealthy.
            AttemptOutcome outcome = upstream.isOrigin() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT;
            pool.policy().run(() -> attempt.onEnd(outcome));
        }
    }

    /**
     * Servers drop duplicates of a deduplicated request only for a limited time. A retry that is started within that
     * time may have to wait for a connection that is established late; it must not begin after that time.
     */
    private void limitToDeduplicationWindow(RequestContext context, RequestAttempt attempt) {
        ServiceClass serviceClass = context.serviceClass(pool.settings());
        if (serviceClass.idempotency() != Idempotency.DEDUPLICATED) {
            return;
        }
        for (RequestAttempt earlier : context.attempts()) {
            if (earlier != attempt && earlier.hasBegun()) {
                attempt.limitBegin(SendGuard.retryUntilMs(earlier.startedMs(), serviceClass.deduplicationWindowMs()));
            }
        }
        if (attempt.beginByMs() < attempt.timeoutAtMs()) {
            loopContext.after(attempt.beginByMs() - loopContext.nowMs(), attempt::withdraw);
        }
    }

    /**
     * Checks an attempt right before its first byte is written, whichever connection it is on and however long it has
     * waited for it. An attempt that may not begin is ended here as not sent.
     */
    boolean mayBegin(RequestAttempt attempt) {
        RequestContext context = attempt.context();
        Invariant violated = sendGuard.violatedBy(attempt, loopContext.nowMs());
        if (violated == null && loopContext.isBehind() && context.hasClientLeft()) {
            violated = Invariant.CLIENT_PRESENT;
        }
        if (violated != null) {
            String server = pool.servers().name(attempt.server());
            loopContext
                    .invariants()
                    .recordStopped(
                            violated,
                            context.request().id(),
                            "attempt " + attempt.index() + " at " + server + " was not begun");
            attempt.onEnd(AttemptOutcome.NOT_SENT);
            return false;
        }
        double clientDueMs = context.request().clientDueMs();
        if (context.dueMs() > clientDueMs) {
            long excessMs = Math.round(context.dueMs() - clientDueMs);
            loopContext
                    .invariants()
                    .recordViolation(
                            Invariant.DEADLINE_WITHIN_CLIENTS,
                            context.request().id(),
                            "its pool waits " + excessMs + " ms longer than its client");
        }
        return true;
    }

    /** Whether the slow-start budget of an attempt's server has a part for it. */
    boolean fitsSlowStartBudget(RequestAttempt attempt) {
        return pool.policy().mayBegin(attempt);
    }

    /** Called when an attempt's first byte is about to be written. */
    void begun(RequestAttempt attempt) {
        attempt.begun(loopContext.nowMs());
        attempt.context().request().attemptBegan();
        if (!pool.policy().attemptBegan(attempt)) {
            loopContext
                    .invariants()
                    .recordViolation(
                            Invariant.SLOW_START_BUDGET,
                            attempt.context().request().id(),
                            "attempt " + attempt.index() + " at "
                                    + pool.servers().name(attempt.server()));
        }
        pool.log().attemptStarted(attempt);
    }

    /** The handler of the attempts' results. */
    AttemptResultHandler results() {
        return results;
    }

    /** The protocol of the pool's servers. */
    PoolProtocol protocol() {
        return protocol;
    }

    /** The request class that a sibling expects; null if the server is not a sibling. */
    String siblingClass(int server) {
        return pool.extensions().siblings().siblingClass(server);
    }

    /** Whether two attempts of a request may be in flight at once. */
    boolean hedgingAllowed() {
        return pool.settings().hedgingAllowed();
    }

    /** Whether a request may be processed more than once. */
    Idempotency idempotencyOf(RequestContext context) {
        return context.serviceClass(pool.settings()).idempotency();
    }
}
