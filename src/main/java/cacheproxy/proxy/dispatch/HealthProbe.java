package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.upstream.PoolProtocol;
import io.netty.buffer.ByteBuf;

/** A health probe: asks a server for a response, and for its load report if the pool gets load reports by probes. */
final class HealthProbe extends PoolAttempt {
    /** Receives the end of a probe. */
    @FunctionalInterface
    interface Listener {
        /** Called when the probe has ended; {@code loadReport} is null if the server has sent none. */
        void ended(AttemptOutcome outcome, double elapsedMs, float[] loadReport);
    }

    private final HealthProber prober;
    private final Listener listener;

    /** Creates a probe that has no connection yet. */
    HealthProbe(HealthProber prober, int server, double startedMs, double timeoutAtMs, Listener listener) {
        super(null, 0, server, startedMs, timeoutAtMs);
        this.prober = prober;
        this.listener = listener;
    }

    @Override
    public PoolProtocol protocol() {
        return prober.protocol();
    }

    /** Returns null, as a probe has no request class. */
    @Override
    public String siblingClass() {
        return null;
    }

    @Override
    public double deadlineMs() {
        return timeoutAtMs();
    }

    @Override
    public boolean hedgingAllowed() {
        return prober.hedgingAllowed();
    }

    @Override
    public boolean mayBeCutOff(double nowMs) {
        return true;
    }

    @Override
    public boolean mayBegin() {
        return true;
    }

    @Override
    public void onBegin() {}

    @Override
    public boolean onValueBegin(int length) {
        throw new IllegalStateException("a health probe of server " + server() + " received a long value");
    }

    @Override
    public void onValuePart(ByteBuf part) {
        throw new IllegalStateException("a health probe of server " + server() + " received a part of a long value");
    }

    /** Reports the first end and ignores any further one. */
    @Override
    public void onEnd(AttemptOutcome outcome, int cacheStatus, float[] loadReport, ByteBuf value, String receipt) {
        if (value != null) {
            value.release();
        }
        if (hasEnded()) {
            return;
        }
        markEnded();
        cancelTimeout();
        listener.ended(outcome, prober.nowMs() - startedMs(), loadReport);
    }
}
