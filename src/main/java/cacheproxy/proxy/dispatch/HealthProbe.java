package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.upstream.Attempt;
import cacheproxy.proxy.upstream.PoolProtocol;
import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;

/** A health probe: asks a server for a sign of life, and for its load figures where the pool wants them. */
final class HealthProbe extends Attempt {
    private final Dispatcher dispatcher;
    /** Gets the outcome; null: the pool's policy gets it. */
    final Consumer<AttemptOutcome> asked;

    Timer timer;

    HealthProbe(
            Dispatcher dispatcher, int server, double startedMs, double timeoutAtMs, Consumer<AttemptOutcome> asked) {
        super(null, 0, server, startedMs, timeoutAtMs);
        this.dispatcher = dispatcher;
        this.asked = asked;
    }

    @Override
    public PoolProtocol protocol() {
        return dispatcher.protocol();
    }

    @Override
    public String siblingClass() {
        return dispatcher.classAt(server());
    }

    @Override
    public double deadlineMs() {
        return timeoutAtMs();
    }

    @Override
    public boolean hedgingAllowed() {
        return dispatcher.hedgingAllowed();
    }

    @Override
    public boolean mayBegin() {
        return true;
    }

    @Override
    public void onBegin() {}

    @Override
    public boolean onValueBegin(int length) {
        throw new IllegalStateException("a health probe of server " + server() + " was given a long value");
    }

    @Override
    public void onValuePart(ByteBuf part) {
        throw new IllegalStateException("a health probe of server " + server() + " was given a part of a long value");
    }

    @Override
    public void onEnd(AttemptOutcome outcome, int note, float[] report, ByteBuf value, String receipt) {
        dispatcher.endProbe(this, outcome, report, value);
    }

    /** Sets {@link #hasEnded}. */
    void end() {
        markEnded();
    }
}
