package cacheproxy.proxy.upstream;

import java.util.function.BooleanSupplier;

/**
 * Detects responses that stop before they are complete. Servers pause within a response for at most 0.1 s; a response
 * that has paused for longer will not continue.
 */
final class ResponseProgress {
    /** How long the connection waits for the rest of a short response: three times the longest pause. */
    static final double PARTIAL_RESPONSE_TIMEOUT_MS = 300;

    private final EventLoopContext loopContext;
    private final BooleanSupplier closed;
    private final Runnable onTimeout;
    /** When the last bytes arrived, or reading was last suspended or resumed. */
    private double lastProgressMs;
    /** Whether a part of a short response has arrived, but not all of it. */
    private boolean partial;

    private boolean timerSet;

    /**
     * Creates the monitor of a connection's responses.
     *
     * @param closed whether the connection is closed, so that no more bytes are expected
     * @param onTimeout runs when the rest of a short response has not arrived in time
     */
    ResponseProgress(EventLoopContext loopContext, BooleanSupplier closed, Runnable onTimeout) {
        this.loopContext = loopContext;
        this.closed = closed;
        this.onTimeout = onTimeout;
    }

    /** Records that bytes have arrived, or that reading has been suspended or resumed. */
    void recordProgress() {
        lastProgressMs = loopContext.nowMs();
    }

    /**
     * Records that a part of a short response has arrived, and that the rest is expected within
     * {@link #PARTIAL_RESPONSE_TIMEOUT_MS}.
     */
    void partialReceived() {
        partial = true;
        recordProgress();
        if (!timerSet) {
            timerSet = true;
            setTimer(PARTIAL_RESPONSE_TIMEOUT_MS);
        }
    }

    /**
     * Records that no rest of a short response is expected: it is complete, it is the head of a long value, or it is
     * not being read.
     */
    void expectNothing() {
        partial = false;
    }

    /** The time since the last progress, in milliseconds. */
    double sinceProgressMs(double nowMs) {
        return nowMs - lastProgressMs;
    }

    private void setTimer(double ms) {
        loopContext.after(ms, () -> {
            double leftMs = PARTIAL_RESPONSE_TIMEOUT_MS - sinceProgressMs(loopContext.nowMs());
            boolean expecting = partial && !closed.getAsBoolean();
            timerSet = expecting && leftMs > 0;
            if (timerSet) {
                setTimer(leftMs);
            } else if (expecting) {
                onTimeout.run();
            }
        });
    }
}
