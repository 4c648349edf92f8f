package cacheproxy.proxy.upstream;

import java.util.function.BooleanSupplier;

/**
 * Notices when a response stops in its middle. Servers pause within a response for 0.1 s at most; one that has paused
 * for longer will not continue.
 */
final class ResponseProgress {
    /** How long the connection waits for the rest of a short response: three times the longest pause. */
    static final double PARTIAL_RESPONSE_TIMEOUT_MS = 300;

    private final EventLoopContext loopContext;
    private final BooleanSupplier closed;
    private final Runnable onTimeout;
    /** When the last bytes came, or the response could continue again. */
    private double lastProgressMs;
    /** Whether a part of a short response, and not all of it, has come. */
    private boolean partial;

    private boolean timerSet;

    /**
     * Creates the progress of a connection's responses.
     *
     * @param closed whether the connection is closed, so that nothing is expected any more
     * @param onTimeout runs when the rest of a short response has not come in time
     */
    ResponseProgress(EventLoopContext loopContext, BooleanSupplier closed, Runnable onTimeout) {
        this.loopContext = loopContext;
        this.closed = closed;
        this.onTimeout = onTimeout;
    }

    /** Bytes have come, or reading has been suspended or resumed. */
    void recordProgress() {
        lastProgressMs = loopContext.nowMs();
    }

    /** A part of a short response has come, and the rest is expected within {@link #PARTIAL_RESPONSE_TIMEOUT_MS}. */
    void partialReceived() {
        partial = true;
        recordProgress();
        if (!timerSet) {
            timerSet = true;
            setTimer(PARTIAL_RESPONSE_TIMEOUT_MS);
        }
    }

    /** No rest of a short response is expected: it is complete, is a long value's head, or is not being read. */
    void expectNothing() {
        partial = false;
    }

    /** For how long nothing has come, in milliseconds. */
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
