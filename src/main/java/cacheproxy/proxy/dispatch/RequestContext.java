package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.RoutingRequest;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.Responder;
import java.util.ArrayList;
import java.util.List;

/**
 * A request in a pool, with its attempts. It is pending until a long value begins for its client or it is concluded; it
 * stays known to the pool until its last attempt has ended. On the event loop only.
 */
public final class RequestContext implements RequestHandler.Handle {
    /** Most requests have no more attempts. */
    private static final int TYPICAL_ATTEMPTS = 3;

    private enum State {
        /** The client has had nothing yet. */
        PENDING,
        /** The client is being sent a long value. */
        STREAMING,
        /** The client has had its response, or has disconnected. */
        CONCLUDED
    }

    private final RequestLifecycle lifecycle;
    private final ClientRequest request;
    private final long keyHash;
    private final Responder responder;
    private final boolean holdsRequestId;
    private final List<RequestAttempt> attempts = new ArrayList<>(TYPICAL_ATTEMPTS);

    private int id;
    private double dueMs;
    private State state = State.PENDING;
    private int inFlightAttempts;
    private boolean missed;
    private boolean endedAttemptMayHaveRun;
    private AttemptOutcome lastOutcome;
    private Timer deadlineTimer;

    /**
     * Creates a request that is due when its client gives up.
     *
     * @param keyHash by which the policy places the key
     * @param holdsRequestId whether the id that its client gave it is in use until this is concluded; false where
     *     another object holds the request, too
     */
    RequestContext(
            RequestLifecycle lifecycle,
            ClientRequest request,
            long keyHash,
            Responder responder,
            boolean holdsRequestId) {
        this.lifecycle = lifecycle;
        this.request = request;
        this.keyHash = keyHash;
        this.responder = responder;
        this.holdsRequestId = holdsRequestId;
        dueMs = request.dueMs();
    }

    /** Sets another deadline than the client's. */
    void setDueMs(double deadlineMs) {
        dueMs = deadlineMs;
    }

    /** Sets the number by which the policy knows it. */
    void setId(int number) {
        id = number;
    }

    /** Whether any attempt may have been processed by its server, or may yet be. */
    public boolean mayHaveRun() {
        return endedAttemptMayHaveRun || inFlightAttempts > 0;
    }

    @Override
    public void clientDisconnected() {
        lifecycle.clientDisconnected(this);
    }

    /** Concludes it as failed unless its client has had something. */
    void fail() {
        lifecycle.fail(this);
    }

    /** What the policy is told of it. */
    RoutingRequest toRoutingRequest() {
        return new RoutingRequest(
                id,
                request.serviceClass(),
                request.tenant(),
                keyHash,
                dueMs,
                request.workHintMs(),
                request.sizeHintBytes(),
                request.isWrite(),
                request.isRetry());
    }

    // ---- state

    /** Whether the system knows of the client's close already; asks it, so not to be called for every attempt. */
    boolean hasClientLeft() {
        return responder.hasClientLeft();
    }

    /** Whether its client has had nothing yet and still waits. */
    boolean isPending() {
        return state == State.PENDING;
    }

    /** Whether its client is being sent a long value. */
    boolean isStreaming() {
        return state == State.STREAMING;
    }

    /** Whether its client has had its response or has disconnected. */
    boolean isConcluded() {
        return state == State.CONCLUDED;
    }

    /** A long value begins for the client; its deadline no longer counts. */
    void beginStreaming() {
        state = State.STREAMING;
        cancelDeadline();
    }

    /** Its client has had its response or has disconnected. */
    void conclude() {
        state = State.CONCLUDED;
        cancelDeadline();
    }

    /** Replaces the timer of its deadline. */
    void setDeadlineTimer(Timer timer) {
        deadlineTimer = timer;
    }

    private void cancelDeadline() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
    }

    // ---- attempts

    /** An attempt of it is in flight from now on. */
    void attemptStarted(RequestAttempt attempt) {
        attempts.add(attempt);
        inFlightAttempts++;
    }

    /** One of its attempts has ended. */
    void attemptEnded(AttemptOutcome outcome) {
        inFlightAttempts--;
        lastOutcome = outcome;
        missed |= outcome == AttemptOutcome.MISS;
        endedAttemptMayHaveRun |= outcome.mayHaveRun();
    }

    /** All attempts in the order of their start, also those that have ended. */
    List<RequestAttempt> attempts() {
        return attempts;
    }

    /** How many attempts have not ended. */
    int inFlightAttempts() {
        return inFlightAttempts;
    }

    /** Whether a server has responded that it lacks the key. */
    boolean hasMissed() {
        return missed;
    }

    /** The outcome of the attempt that ended last; null if none has. */
    AttemptOutcome lastOutcome() {
        return lastOutcome;
    }

    // ---- what it is

    /** By which the policy knows it; unique in the pool. */
    int id() {
        return id;
    }

    /** What the client has asked for. */
    ClientRequest request() {
        return request;
    }

    /** Where the response goes. */
    Responder responder() {
        return responder;
    }

    /** When the pool stops waiting for it. */
    double dueMs() {
        return dueMs;
    }

    /** Whether it frees the id that its client gave it as it is concluded. */
    boolean holdsRequestId() {
        return holdsRequestId;
    }

    /** The class that its client has named. */
    ServiceClass serviceClass(PolicySettings settings) {
        return settings.classes().get(request.serviceClass());
    }
}
