package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.Idempotency;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.util.collection.IntObjectHashMap;
import java.util.List;

/**
 * The requests of a pool, from their arrival until their last attempt has ended. Each request is concluded once: by a
 * server's response, by the policy, by its client's disconnection, or by this class if the policy leaves it without a
 * response. Used on the event loop only.
 */
final class RequestLifecycle {
    /** How long after its deadline the policy may still conclude a request. */
    private static final double CONCLUSION_GRACE_MS = 10;

    private final EventLoopContext loopContext;
    private final PoolServices pool;
    private final IntObjectHashMap<RequestContext> requests = new IntObjectHashMap<>();
    private int lastId;

    RequestLifecycle(PoolServices pool) {
        this.pool = pool;
        loopContext = pool.loopContext();
    }

    /** Adds a request and reports it to the policy. */
    void start(RequestContext context) {
        context.setId(++lastId);
        requests.put(context.id(), context);
        double nowMs = loopContext.nowMs();
        // Set before the policy's own timer for the same time, so that an attempt at a server that does not respond has
        // ended as timed out by then.
        context.setDeadlineTimer(loopContext.after(context.dueMs() - nowMs, () -> deadlineReached(context)));
        pool.log().requestReceived(context, nowMs);
        pool.policy().requestReceived(context, nowMs);
    }

    private void deadlineReached(RequestContext context) {
        List<RequestAttempt> attempts = context.attempts();
        for (int i = 0; i < attempts.size() && !context.isStreaming(); i++) {
            attempts.get(i).expire();
        }
        context.setDeadlineTimer(loopContext.after(CONCLUSION_GRACE_MS, () -> failUnlessConcluded(context)));
    }

    private void failUnlessConcluded(RequestContext context) {
        if (context.isPending()) {
            loopContext.log("request left unanswered by the routing policy");
            fail(context);
        }
    }

    /** Returns the request with this id; null if it is unknown or its last attempt has ended. */
    RequestContext find(int id) {
        return requests.get(id);
    }

    /** The number of requests, including those that are concluded but have attempts in flight. */
    int count() {
        return requests.size();
    }

    /**
     * Handles the disconnection of a client: none of the request's attempts begins from now on. Attempts that have
     * begun continue until the deadline, as other requests may wait for their result. Only attempts that stream a long
     * value are cancelled, as no other request receives that value.
     */
    void clientDisconnected(RequestContext context) {
        if (context.isConcluded()) {
            return;
        }
        context.conclude();
        if (context.holdsRequestId()) {
            releaseIdOfLeftClient(context);
        }
        pool.log().requestAbandoned(context);
        pool.policy().clientGone(context);
        for (RequestAttempt attempt : context.attempts()) {
            abandon(attempt);
        }
        releaseIfDone(context);
    }

    private void releaseIdOfLeftClient(RequestContext context) {
        String id = context.request().id();
        if (context.request().isWrite() && context.mayHaveRun()) {
            loopContext.retireId(id);
        } else {
            loopContext.closeId(id);
        }
    }

    private void abandon(RequestAttempt attempt) {
        if (attempt.hasEnded()) {
            return;
        }
        if (!attempt.hasBegun()) {
            attempt.withdraw();
        } else if (attempt.isStreaming()) {
            attempt.connection().abandon(attempt);
            attempt.onEnd(AttemptOutcome.CANCELLED);
        } else if (!attempt.hasTimeout()) { // the request's own timer, which is cancelled, would have ended it
            attempt.expireAfter(loopContext, attempt.context().dueMs() - loopContext.nowMs());
        }
    }

    /** Ends the attempt that streams a long value, as its client can't be sent the value in time. */
    void cancelValue(RequestContext context) {
        if (!context.isStreaming()) {
            return;
        }
        for (RequestAttempt attempt : context.attempts()) {
            if (attempt.isStreaming()) {
                abandon(attempt);
                return;
            }
        }
    }

    /** Rejects every request that is safe to retry and fails the others, because the process is about to end. */
    void concludeAll() {
        List.copyOf(requests.values()).forEach(this::concludeUnserved);
    }

    /**
     * Concludes a request whose value is beginning to arrive and can't be kept. Its attempts continue, and what they
     * receive is discarded.
     */
    void concludeWithoutMemory(RequestContext context) {
        concludeUnserved(context);
        pool.policy().clientGone(context); // nobody waits for it any more
        context.attempts().forEach(this::abandon);
    }

    /** Rejects the request if it is safe to retry, and fails it otherwise, as it can't be served. */
    void concludeUnserved(RequestContext context) {
        boolean safeToRetry =
                context.serviceClass(pool.settings()).idempotency() == Idempotency.IDEMPOTENT || !context.mayHaveRun();
        if (safeToRetry) {
            reject(context, 0);
        } else {
            fail(context);
        }
    }

    /** Responds that the request has failed, unless its client has received something. */
    void fail(RequestContext context) {
        if (!context.isPending()) {
            return;
        }
        conclude(context);
        pool.log().requestConcluded(context, ResponseKind.FAILED);
        context.responder().failed();
        releaseIfDone(context);
    }

    /**
     * Responds that the request was rejected, or that the key is missing if a server has reported so and there is no
     * origin to ask. Does nothing if the client has received something.
     *
     * @param retryAfterMs the back-off to advise to the client; 0 for none
     */
    void reject(RequestContext context, double retryAfterMs) {
        if (!context.isPending()) {
            return;
        }
        conclude(context);
        if (context.hasMissed() && !pool.settings().cacheAside()) {
            pool.log().requestConcluded(context, ResponseKind.MISSED);
            context.responder().miss();
        } else {
            boolean advises = retryAfterMs >= 1 && pool.settings().retryAfterAllowed();
            pool.log().requestConcluded(context, ResponseKind.REJECTED);
            context.responder().busy(advises ? retryAfterMs : 0);
        }
        releaseIfDone(context);
    }

    /** Records that the client has received its response or has disconnected. */
    void conclude(RequestContext context) {
        context.conclude();
        if (context.holdsRequestId()) {
            loopContext.closeId(context.request().id());
        }
    }

    /** Removes a concluded request after its last attempt has ended; until then the policy can cancel its attempts. */
    void releaseIfDone(RequestContext context) {
        if (!context.isConcluded() || context.inFlightAttempts() > 0) {
            return;
        }
        if (requests.remove(context.id()) != null) {
            context.request().release(loopContext);
        }
    }
}
