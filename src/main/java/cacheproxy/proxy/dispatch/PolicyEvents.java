package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.AttemptResult;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.PolicyActions;
import cacheproxy.policy.RoutingPolicy;
import cacheproxy.policy.RoutingRequest;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.snapshot.state.LearnedState;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Supplier;

/**
 * Reports events to a pool's routing policy; nobody else calls it. The policy is never called from within one of its
 * own actions: an event that such an action causes is queued and reported in its turn, in order. A policy that throws
 * on an event is logged and goes on with the next one. On the event loop only.
 */
final class PolicyEvents {
    private final EventLoopContext loopContext;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private RoutingPolicy policy;
    private PolicyActions actions;
    private boolean running;
    private boolean stopped;

    PolicyEvents(EventLoopContext loopContext) {
        this.loopContext = loopContext;
    }

    /** Sets who is called; before the first event. */
    void start(RoutingPolicy newPolicy, PolicyActions newActions) {
        policy = newPolicy;
        actions = newActions;
    }

    /** Ignores all events from now on. */
    void stop() {
        stopped = true;
    }

    /** Runs an event now, or once the event that is being handled is over. */
    void run(Runnable event) {
        if (stopped) {
            return;
        }
        if (running) {
            queue.add(event);
            return;
        }
        running = true;
        try {
            for (Runnable next = event; next != null; next = queue.poll()) {
                runLogged(next);
            }
        } finally {
            running = false;
        }
    }

    private void runLogged(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            logException(e);
        }
    }

    /** A policy that throws on one request must not take others with it: this one fails. */
    private void runFor(RequestContext request, Runnable event) {
        run(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                logException(e);
                request.fail();
            }
        });
    }

    private void logException(RuntimeException exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        loopContext.log("fault: " + exception + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    /** A request has arrived. */
    void requestReceived(RequestContext context, double nowMs) {
        RoutingRequest request = context.toRoutingRequest();
        runFor(context, () -> policy.onRequest(nowMs, request, actions));
    }

    /** The first bytes of a long value have come for an attempt. */
    void firstByteReceived(RequestAttempt attempt) {
        run(() -> policy.onFirstByte(
                loopContext.nowMs(), attempt.context().id(), attempt.index(), attempt.server(), actions));
    }

    /** An attempt of a request has ended. */
    void attemptEnded(RequestContext context, AttemptResult result) {
        runFor(context, () -> policy.onAttemptEnd(loopContext.nowMs(), result, actions));
    }

    /** The client of a request has disconnected. */
    void clientGone(RequestContext context) {
        run(() -> policy.onClientGone(loopContext.nowMs(), context.id(), actions));
    }

    /** A sibling has the key of a request, or none if its id is 0. */
    void siblingResponded(RequestContext context, int sibling) {
        runFor(context, () -> policy.onSiblingResponse(loopContext.nowMs(), context.id(), sibling, actions));
    }

    /** A timer that the policy has set has expired. */
    void timerExpired(int token) {
        run(() -> policy.onTimer(loopContext.nowMs(), token, actions));
    }

    /** A health probe has ended; the report has the server's load figures and is null if there are none. */
    void probeEnded(int server, AttemptOutcome outcome, double elapsedMs, float[] loadReport) {
        run(() -> policy.onProbeResult(loopContext.nowMs(), server, outcome, elapsedMs, loadReport, actions));
    }

    /** An endpoint list or the changes of one have come. */
    void endpointListReceived(EndpointListKind kind, List<Endpoint> endpoints) {
        run(() -> policy.onEndpointList(loopContext.nowMs(), kind, endpoints, actions));
    }

    /** A message of another proxy has come. */
    void peerMessageReceived(int peer, byte[] message) {
        run(() -> policy.onPeerMessage(loopContext.nowMs(), peer, message, actions));
    }

    /** Gives the policy what an earlier one has learned. */
    void restore(Supplier<LearnedState> state) {
        run(() -> policy.restore(loopContext.nowMs(), state.get()));
    }
}
