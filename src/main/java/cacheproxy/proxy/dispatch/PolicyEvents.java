package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.AttemptResult;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.PolicyActions;
import cacheproxy.policy.RoutingPolicy;
import cacheproxy.policy.RoutingRequest;
import cacheproxy.policy.SlowStartStatus;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.snapshot.state.LearnedState;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Supplier;

/**
 * Reports events to a pool's routing policy, as its only caller. The policy is never called from within one of its own
 * actions: an event that such an action causes is queued, and queued events are reported in order. If an event throws
 * an exception or an error, it is recorded and the next event is reported. Used on the event loop only.
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

    /** Sets the policy, and the actions that it can take. Must be called before the first event. */
    void start(RoutingPolicy newPolicy, PolicyActions newActions) {
        policy = newPolicy;
        actions = newActions;
    }

    /** Ignores all events from now on. */
    void stop() {
        stopped = true;
    }

    /** Runs an event now, or after the event that is being handled. */
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
        } catch (RuntimeException | Error e) {
            loopContext.faults().record(e);
        }
    }

    /**
     * Fails the request if the policy throws an exception or an error on it, so that other requests are not affected.
     */
    private void runFor(RequestContext request, Runnable event) {
        run(() -> {
            try {
                event.run();
            } catch (RuntimeException | Error e) {
                loopContext.faults().record(e);
                request.fail();
            }
        });
    }

    /** Reports that a request has arrived. */
    void requestReceived(RequestContext context, double nowMs) {
        RoutingRequest request = context.toRoutingRequest();
        runFor(context, () -> policy.onRequest(nowMs, request, actions));
    }

    /** Asks whether an attempt may begin now; unlike events, this may be asked while an event is handled. */
    boolean mayBegin(RequestAttempt attempt) {
        return policy.mayBegin(loopContext.nowMs(), attempt.context().id(), attempt.index());
    }

    /**
     * Reports that an attempt begins; unlike events, this may be reported while an event is handled.
     *
     * @return false if its server's slow-start budget does not allow it
     */
    boolean attemptBegan(RequestAttempt attempt) {
        return policy.attemptBegan(loopContext.nowMs(), attempt.context().id(), attempt.index());
    }

    /** The servers that are in their slow start. */
    List<SlowStartStatus> slowStarts() {
        return policy.slowStarts(loopContext.nowMs());
    }

    /** Reports that the first bytes of a long value have arrived for an attempt. */
    void firstByteReceived(RequestAttempt attempt) {
        run(() -> policy.onFirstByte(
                loopContext.nowMs(), attempt.context().id(), attempt.index(), attempt.server(), actions));
    }

    /** Reports that an attempt of a request has ended. */
    void attemptEnded(RequestContext context, AttemptResult result) {
        runFor(context, () -> policy.onAttemptEnd(loopContext.nowMs(), result, actions));
    }

    /** Reports that the client of a request has disconnected. */
    void clientGone(RequestContext context) {
        run(() -> policy.onClientGone(loopContext.nowMs(), context.id(), actions));
    }

    /** Reports the id of a sibling that has the key of a request; 0 if no sibling has it. */
    void siblingResponded(RequestContext context, int sibling) {
        runFor(context, () -> policy.onSiblingResponse(loopContext.nowMs(), context.id(), sibling, actions));
    }

    /** Reports that a timer of the policy has expired. */
    void timerExpired(int token) {
        run(() -> policy.onTimer(loopContext.nowMs(), token, actions));
    }

    /** Reports that a health probe has ended; the load report is null if the server has sent none. */
    void probeEnded(int server, AttemptOutcome outcome, double elapsedMs, float[] loadReport) {
        run(() -> policy.onProbeResult(loopContext.nowMs(), server, outcome, elapsedMs, loadReport, actions));
    }

    /** Reports that an endpoint list or changes of it have arrived. */
    void endpointListReceived(EndpointListKind kind, List<Endpoint> endpoints) {
        run(() -> policy.onEndpointList(loopContext.nowMs(), kind, endpoints, actions));
    }

    /** Reports that a message from another proxy has arrived. */
    void peerMessageReceived(int peer, byte[] message) {
        run(() -> policy.onPeerMessage(loopContext.nowMs(), peer, message, actions));
    }

    /** Restores in the policy the state that an earlier policy has learned. */
    void restore(Supplier<LearnedState> state) {
        run(() -> policy.restore(loopContext.nowMs(), state.get()));
    }
}
