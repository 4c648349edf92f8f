package cacheproxy.proxy.dispatch;

import cacheproxy.invariant.SendFacts;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.Idempotency;
import cacheproxy.proxy.upstream.PoolProtocol;
import io.netty.buffer.ByteBuf;
import java.util.List;

/** One attempt to have a server handle a client's request. */
final class RequestAttempt extends PoolAttempt implements SendFacts {
    /** After this time an attempt has come to its server, so that a repeat can't overtake it. */
    private static final double MAX_TRANSIT_MS = 25;

    private final RequestAttempts owner;
    private final RequestContext context;
    /**
     * The latest time at which the attempt may begin: servers drop duplicates of an earlier attempt only until then.
     */
    private double beginByMs = Double.POSITIVE_INFINITY;
    /** When its first byte was about to be written; valid once it has begun. */
    private double begunMs;
    /** Whether it has ended with an outcome that leaves open whether the server processed it. */
    private boolean mayHaveRun;
    /** Whether the policy has cancelled it while it was out; its end is reported when it is not any more. */
    private boolean cancelled;
    /** When it stopped waiting for the end of an earlier attempt; 0 if it did not wait. */
    private double heldUntilMs;
    /** When the first bytes of a long value arrived; 0 if none have. */
    private double firstByteMs;

    /** Creates the next attempt of a request. */
    RequestAttempt(RequestAttempts owner, RequestContext context, int server, double startedMs, double timeoutAtMs) {
        super(context.request(), context.attempts().size(), server, startedMs, timeoutAtMs);
        this.owner = owner;
        this.context = context;
    }

    /** Its request. */
    RequestContext context() {
        return context;
    }

    // ---- lifecycle

    /** Limits the time at which the attempt may begin. An earlier limit that was set before stays in force. */
    void limitBegin(double latestMs) {
        beginByMs = Math.min(beginByMs, latestMs);
    }

    /** The latest time at which the attempt may begin; infinite if there is no limit. */
    double beginByMs() {
        return beginByMs;
    }

    /** Records that the first bytes of a long value have arrived; the timeout no longer applies. */
    void beginStreaming(double nowMs) {
        firstByteMs = nowMs;
        cancelTimeout();
    }

    /** Whether the first bytes of a long value have arrived. */
    boolean isStreaming() {
        return firstByteMs != 0;
    }

    /** How long its server has taken to respond, up to the first bytes of a long value. */
    double elapsedMs(double nowMs) {
        return (isStreaming() ? firstByteMs : nowMs) - Math.max(startedMs(), heldUntilMs);
    }

    /** Records that its first byte is about to be written. */
    void begun(double nowMs) {
        begunMs = nowMs;
    }

    /** Records that it has waited for the end of an earlier attempt until now. */
    void heldUntil(double nowMs) {
        heldUntilMs = nowMs;
    }

    /** Records its outcome. */
    void end(AttemptOutcome outcome) {
        markEnded();
        mayHaveRun = outcome.mayHaveRun();
        cancelTimeout();
    }

    /** Ends the attempt as not sent if it has not begun; an attempt that has begun continues. */
    void withdraw() {
        if (hasEnded() || hasBegun()) {
            return;
        }
        if (connection() != null) {
            connection().abandon(this);
        }
        onEnd(AttemptOutcome.NOT_SENT);
    }

    /**
     * Cancels the attempt unless it has ended or its value has begun. Its end is an event after the current one. Where
     * a request may have one attempt in flight only, and may still get another one, the cancelled attempt stays in
     * flight until its connection has closed; if its response arrives before, that counts.
     */
    void cancel(PolicyEvents policy) {
        if (hasEnded() || isStreaming()) {
            return;
        }
        if (hasBegun() && !hedgingAllowed() && context.isPending()) {
            cancelled = true;
            connection().giveUp(this);
            return;
        }
        if (connection() != null) {
            connection().abandon(this);
        }
        policy.run(() -> onEnd(AttemptOutcome.CANCELLED));
    }

    // ---- calls from its connection

    @Override
    public PoolProtocol protocol() {
        return owner.protocol();
    }

    @Override
    public String siblingClass() {
        return owner.siblingClass(server());
    }

    @Override
    public double deadlineMs() {
        return Math.min(timeoutAtMs(), context.dueMs());
    }

    @Override
    public boolean hedgingAllowed() {
        return owner.hedgingAllowed();
    }

    @Override
    public boolean mayBeCutOff(double nowMs) {
        return hasEnded()
                || (!isStreaming()
                        && owner.idempotencyOf(context) == Idempotency.IDEMPOTENT
                        && nowMs - begunMs >= MAX_TRANSIT_MS);
    }

    @Override
    public boolean mayBegin() {
        return owner.mayBegin(this);
    }

    @Override
    public void onBegin() {
        owner.begun(this);
    }

    @Override
    public void onSettled() {
        context.request().attemptSettled();
    }

    @Override
    public boolean onShortValueBegin(int length) {
        return owner.results().shortValueBegun(this, length);
    }

    @Override
    public boolean onValueBegin(int length) {
        return owner.results().valueBegun(this, length);
    }

    @Override
    public void onValuePart(ByteBuf part) {
        owner.results().valuePart(this, part);
    }

    @Override
    public void onEnd(AttemptOutcome outcome, int cacheStatus, float[] loadReport, ByteBuf value, String receipt) {
        boolean connectionClosed = outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.CONNECT_FAILED;
        AttemptOutcome reported = cancelled && connectionClosed ? AttemptOutcome.CANCELLED : outcome;
        owner.results().ended(this, reported, cacheStatus, loadReport, value, receipt);
    }

    // ---- facts for the send guard

    @Override
    public boolean abandoned() {
        return context.isConcluded();
    }

    @Override
    public double retryUntilMs() {
        return beginByMs;
    }

    @Override
    public boolean singleEffect() {
        return owner.idempotencyOf(context) == Idempotency.NON_IDEMPOTENT;
    }

    @Override
    public boolean earlierAttemptMayHaveRun() {
        List<RequestAttempt> all = context.attempts();
        for (int i = 0; i < all.size(); i++) {
            RequestAttempt other = all.get(i);
            if (other != this && other.hasBegun() && (!other.hasEnded() || other.mayHaveRun)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public boolean earlierAttemptInFlight() {
        return context.request().hasOutstandingAttempt();
    }

    @Override
    public double serverUnavailableSinceMs() {
        return connection().serverUnavailableSinceMs();
    }

    @Override
    public boolean exceedsSlowStartBudget() {
        return !owner.fitsSlowStartBudget(this);
    }
}
