package cacheproxy.proxy.dispatch;

import cacheproxy.invariant.SendFacts;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.Idempotency;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.upstream.Attempt;
import cacheproxy.proxy.upstream.PoolProtocol;
import io.netty.buffer.ByteBuf;
import java.util.List;

/** One attempt to have a server handle a client's request. */
final class RequestAttempt extends Attempt implements SendFacts {
    final RequestContext context;
    /** When it may begin at the latest, as servers drop duplicates of an earlier attempt for so long and no longer. */
    double beginByMs = Double.POSITIVE_INFINITY;
    /** Whether it has ended with an outcome that leaves open whether the server processed it. */
    boolean mayHaveRun;
    /** When the first bytes of a long value came, else 0. */
    double firstByteMs;
    /** Of its timeout; null if it ends with its request's deadline. */
    Timer timer;

    RequestAttempt(RequestContext context, int index, int server, double startedMs, double timeoutAtMs) {
        super(context.command, index, server, startedMs, timeoutAtMs);
        this.context = context;
    }

    @Override
    public PoolProtocol protocol() {
        return context.dispatcher.protocol();
    }

    @Override
    public String siblingClass() {
        return context.dispatcher.classAt(server());
    }

    @Override
    public double deadlineMs() {
        return Math.min(timeoutAtMs(), context.dueMs);
    }

    @Override
    public boolean hedgingAllowed() {
        return context.dispatcher.hedgingAllowed();
    }

    @Override
    public boolean mayBegin() {
        return context.dispatcher.mayBegin(this);
    }

    @Override
    public void onBegin() {
        context.dispatcher.logStart(this);
    }

    @Override
    public boolean onValueBegin(int length) {
        return context.dispatcher.begin(this, length);
    }

    @Override
    public void onValuePart(ByteBuf part) {
        context.dispatcher.part(this, part);
    }

    @Override
    public void onEnd(AttemptOutcome outcome, int note, float[] report, ByteBuf value, String receipt) {
        context.dispatcher.end(this, outcome, note, report, value, receipt);
    }

    /** Records its outcome. */
    void end(AttemptOutcome outcome) {
        markEnded();
        mayHaveRun = outcome.mayHaveRun();
    }

    // ---- facts for the send guard

    @Override
    public boolean abandoned() {
        return context.over;
    }

    @Override
    public double retryUntilMs() {
        return beginByMs;
    }

    @Override
    public boolean singleEffect() {
        return context.dispatcher.effect(context) == Idempotency.NON_IDEMPOTENT;
    }

    @Override
    public boolean earlierAttemptMayHaveRun() {
        List<RequestAttempt> all = context.attempts;
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
        List<RequestAttempt> all = context.attempts;
        for (int i = 0; i < all.size(); i++) {
            RequestAttempt other = all.get(i);
            if (other != this && other.hasBegun() && !other.hasEnded()) {
                return true;
            }
        }
        return false;
    }

    @Override
    public double serverUnavailableSinceMs() {
        return connection().serverLeftMs();
    }
}
