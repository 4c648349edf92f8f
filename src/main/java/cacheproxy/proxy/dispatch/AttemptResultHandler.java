package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.AttemptResult;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.Responder;
import io.netty.buffer.ByteBuf;

/**
 * Handles the responses of servers to the attempts of a pool's requests: passes the first value or receipt of a request
 * on to its client, and reports the end of each attempt to the policy once. Used on the event loop only.
 */
final class AttemptResultHandler {
    private final PoolServices pool;
    private final RequestLifecycle requests;

    AttemptResultHandler(PoolServices pool, RequestLifecycle requests) {
        this.pool = pool;
        this.requests = requests;
    }

    /**
     * Claims the memory for a value that is beginning to arrive. If there is not enough, the request is concluded.
     *
     * @return false if the client has already received something or has disconnected, or if there is no memory
     */
    boolean shortValueBegun(RequestAttempt attempt, int length) {
        RequestContext context = attempt.context();
        if (attempt.hasEnded() || !context.isPending()) {
            return false;
        }
        if (context.responder().announceValue(length)) {
            return true;
        }
        requests.concludeWithoutMemory(context);
        return false;
    }

    /**
     * Starts a long value for the client. The other attempts of the request are cancelled.
     *
     * @return false if the client has already received something or has disconnected
     */
    boolean valueBegun(RequestAttempt attempt, int length) {
        RequestContext context = attempt.context();
        if (attempt.hasEnded() || !context.isPending()) {
            return false;
        }
        context.beginStreaming();
        attempt.beginStreaming(pool.loopContext().nowMs());
        context.responder().beginValue(length, attempt.connection());
        pool.policy().firstByteReceived(attempt);
        for (RequestAttempt other : context.attempts()) {
            if (other != attempt) {
                other.cancel(pool.policy());
            }
        }
        return true;
    }

    /** Passes on a part of a long value that has begun. The part is discarded if no client waits for it any more. */
    void valuePart(RequestAttempt attempt, ByteBuf part) {
        if (attempt.hasEnded() || attempt.context().isConcluded()) {
            part.release();
        } else {
            attempt.context().responder().valuePart(part);
        }
    }

    /**
     * Handles the end of an attempt; the parameters are those of {@link RequestAttempt#onEnd}. A second end is ignored.
     */
    void ended(
            RequestAttempt attempt,
            AttemptOutcome outcome,
            int cacheStatus,
            float[] loadReport,
            ByteBuf value,
            String receipt) {
        if (attempt.hasEnded()) {
            release(value);
            return;
        }
        attempt.end(outcome);
        double elapsedMs = attempt.elapsedMs(pool.loopContext().nowMs());
        RequestContext context = attempt.context();
        context.attemptEnded(outcome);
        pool.log().attemptEnded(attempt, outcome, elapsedMs);
        respond(attempt, outcome, value, receipt);
        reportToSiblings(attempt, outcome);
        pool.extensions().healthChecks().attemptEnded(attempt.server(), outcome);
        AttemptResult result = new AttemptResult(
                context.id(),
                attempt.index(),
                attempt.server(),
                outcome,
                elapsedMs,
                context.isConcluded(),
                cacheStatus,
                loadReport);
        pool.policy().attemptEnded(context, result);
        requests.releaseIfDone(context);
    }

    /** Responds to the client if this end concludes the request. Passes on or releases the value. */
    private void respond(RequestAttempt attempt, AttemptOutcome outcome, ByteBuf value, String receipt) {
        if (attempt.isStreaming()) {
            endStream(attempt.context(), outcome);
        } else if (outcome == AttemptOutcome.OK && attempt.context().isPending()) {
            serve(attempt.context(), value, receipt);
        } else {
            release(value);
        }
    }

    private void endStream(RequestContext context, AttemptOutcome outcome) {
        boolean complete = outcome == AttemptOutcome.OK;
        requests.conclude(context);
        pool.log().requestConcluded(context, complete ? ResponseKind.STREAMED : ResponseKind.CUT_OFF);
        Responder responder = context.responder();
        if (complete) {
            responder.endValue();
        } else {
            responder.abortValue();
        }
    }

    private void serve(RequestContext context, ByteBuf value, String receipt) {
        requests.conclude(context);
        pool.log().requestConcluded(context, ResponseKind.SERVED);
        Responder responder = context.responder();
        if (value != null) {
            responder.value(value);
        } else {
            responder.stored(receipt);
        }
    }

    private void reportToSiblings(RequestAttempt attempt, AttemptOutcome outcome) {
        SiblingQueries siblings = pool.extensions().siblings();
        if (siblings == SiblingQueries.NONE) {
            return;
        }
        ClientRequest request = attempt.context().request();
        boolean responded = outcome == AttemptOutcome.OK || outcome == AttemptOutcome.MISS;
        if (request.isWrite()) {
            siblings.writeCompleted(request.key());
        } else if (responded && pool.servers().isCacheServer(attempt.server())) {
            siblings.readCompleted(request.key(), attempt.server(), outcome == AttemptOutcome.OK);
        }
    }

    private static void release(ByteBuf value) {
        if (value != null) {
            value.release();
        }
    }
}
