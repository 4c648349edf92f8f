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
 * A request in a pool, with its attempts. It is pending until a long value begins for its client or the request is
 * concluded. The pool keeps it until its last attempt has ended. Used on the event loop only.
 */
public final class RequestContext implements RequestHandler.Handle {
    /** Most requests have no more attempts than this. */
    private static final int TYPICAL_ATTEMPTS = 3;

    private enum State {
        /** The client has received nothing yet. */
        PENDING,
        /** The client is being sent a long value. */
        STREAMING,
        /** The client has received its response, or has disconnected. */
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
     * Creates a request with the deadline of its client.
     *
     * @param keyHash the hash by which the policy places the key
     * @param holdsRequestId whether the client-assigned id is in use until this is concluded; false if another object
     *     holds the request as well
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

    /** Replaces the client's deadline by another one. */
    void setDueMs(double deadlineMs) {
        dueMs = deadlineMs;
    }

    /** Sets the id by which the policy identifies the request. */
    void setId(int number) {
        id = number;
    }

    /** Whether any attempt may have been processed by its server, or may still be. */
    public boolean mayHaveRun() {
        return endedAttemptMayHaveRun || inFlightAttempts > 0;
    }

    @Override
    public void clientDisconnected() {
        lifecycle.clientDisconnected(this);
    }

    @Override
    public void cancelValue() {
        lifecycle.cancelValue(this);
    }

    /** Concludes the request as failed, unless its client has received something. */
    void fail() {
        lifecycle.fail(this);
    }

    /** Creates the description of this request for the policy. */
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

    /**
     * Whether the operating system already knows that the client has closed its connection. Makes a system call, so it
     * must not be called for every attempt.
     */
    boolean hasClientLeft() {
        return responder.hasClientLeft();
    }

    /** Whether its client has received nothing yet and still waits. */
    boolean isPending() {
        return state == State.PENDING;
    }

    /** Whether its client is being sent a long value. */
    boolean isStreaming() {
        return state == State.STREAMING;
    }

    /** Whether its client has received its response or has disconnected. */
    boolean isConcluded() {
        return state == State.CONCLUDED;
    }

    /** Records that a long value begins for the client; the deadline no longer applies. */
    void beginStreaming() {
        state = State.STREAMING;
        cancelDeadline();
    }

    /** Records that its client has received its response or has disconnected. */
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

    /** Records that an attempt is in flight from now on. */
    void attemptStarted(RequestAttempt attempt) {
        attempts.add(attempt);
        inFlightAttempts++;
    }

    /** Records that one of its attempts has ended. */
    void attemptEnded(AttemptOutcome outcome) {
        inFlightAttempts--;
        lastOutcome = outcome;
        missed |= outcome == AttemptOutcome.MISS;
        endedAttemptMayHaveRun |= outcome.mayHaveRun();
    }

    /** All attempts in the order of their start, including those that have ended. */
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

    // ---- identity

    /** The id by which the policy identifies the request; unique in the pool. */
    int id() {
        return id;
    }

    /** The request as received from the client. */
    ClientRequest request() {
        return request;
    }

    /** The receiver of the response. */
    Responder responder() {
        return responder;
    }

    /** When the pool stops waiting for it. */
    double dueMs() {
        return dueMs;
    }

    /** Whether the client-assigned id becomes free when this is concluded. */
    boolean holdsRequestId() {
        return holdsRequestId;
    }

    /** The service class that its client has named. */
    ServiceClass serviceClass(PolicySettings settings) {
        return settings.classes().get(request.serviceClass());
    }
}
