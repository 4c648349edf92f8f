package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import io.netty.buffer.ByteBuf;

/**
 * Receives the responses on one connection from its codec: passes each to its attempt, pauses reading while a client
 * does not read a long value as fast as it arrives, and detects responses that have stalled. Used on the event loop
 * only.
 */
final class ResponseReceiver {
    /** A long value without progress for this long, or a response that is overdue by this much, will not arrive. */
    private static final double STALL_TIMEOUT_MS = 3000;

    private final UpstreamConnection connection;
    private final AttemptQueue attempts;
    private final ResponseProgress progress;
    /** Whether the client that reads a long value has paused it. */
    private boolean paused;
    /** Whether a long value is being received. */
    private boolean receivingLongValue;
    /** Whether the server has responded on the connection. */
    private boolean responded;
    /**
     * Whether the server has sent a response other than an overload rejection, which shows that it has accepted the
     * connection.
     */
    private boolean accepted;

    /** Creates the receiver of a connection on which nothing has been received. */
    ResponseReceiver(UpstreamConnection connection, AttemptQueue attempts) {
        this.connection = connection;
        this.attempts = attempts;
        progress = new ResponseProgress(connection.loopContext(), connection::isClosed, connection::close);
    }

    // ---- state

    /** Whether a long value is being received. */
    boolean isReceivingLongValue() {
        return receivingLongValue;
    }

    /** Whether the server has responded. */
    boolean hasResponded() {
        return responded;
    }

    /** Whether the server has sent only overload rejections. */
    boolean hasOnlyRefused() {
        return responded && !accepted;
    }

    /** Whether the server has stopped responding. */
    boolean isStalled(double nowMs) {
        Attempt first = attempts.first();
        boolean silent = connection.isConnected()
                && first != null
                && first.hasEnded()
                && nowMs - first.timeoutAtMs() > STALL_TIMEOUT_MS;
        return silent || (receivingLongValue && !paused && progress.sinceProgressMs(nowMs) > STALL_TIMEOUT_MS);
    }

    // ---- flow control

    /** Called when the client that reads a long value pauses or resumes it. */
    void setPaused(boolean pause) {
        if (paused != pause) {
            paused = pause;
            progress.recordProgress();
            connection.channel().config().setAutoRead(!pause);
            if (!pause) {
                connection.codec().resume();
            }
        }
    }

    /** Whether the client that reads a long value has paused it. */
    boolean isPaused() {
        return paused;
    }

    /** Suspends or resumes reading on behalf of the codec. */
    void setReadable(boolean readable) {
        if (readable) {
            progress.partialReceived();
        } else {
            progress.recordProgress();
            progress.expectNothing();
        }
        connection.channel().config().setAutoRead(readable && !paused);
    }

    // ---- what the codec reads

    /** The attempt whose response is expected next; null if none has begun, so that no response is due. */
    Attempt currentAttempt() {
        Attempt first = attempts.first();
        return first == null || first.hasBegun() ? first : null;
    }

    /** Called when a part of a short response has arrived. */
    void onPartialResponse() {
        progress.partialReceived();
    }

    /** Called when a value begins that is passed on when it is whole. Returns false if it must be discarded. */
    boolean onShortValueBegin(int length) {
        return attempts.first().onShortValueBegin(length);
    }

    /** Called when a long value begins. Returns false if no client waits for it, so that it must be discarded. */
    boolean onLongValueBegin(int length) {
        receivingLongValue = true;
        // Its head may have arrived in parts; the time limit for the rest of short responses no longer applies.
        progress.expectNothing();
        progress.recordProgress();
        Attempt attempt = attempts.first();
        boolean needed = attempt.onValueBegin(length);
        if (needed) {
            attempts.keep(attempt); // it may have been abandoned before
        }
        return needed;
    }

    /** Called with a part of a long value, which the callee releases. */
    void onLongValuePart(ByteBuf part) {
        progress.recordProgress();
        attempts.first().onValuePart(part);
    }

    /** Called when a response without a value or receipt, or the end of a long value, has arrived. */
    void onResponse(AttemptOutcome outcome, int cacheStatus, float[] loadReport) {
        onResponse(outcome, cacheStatus, loadReport, null, null);
    }

    /**
     * Called when a response, or the end of a long value, has arrived; see {@link Attempt#onEnd}.
     *
     * @param value the value, which the callee releases; null if there is none or it has been streamed
     * @param receipt the receipt of a write; null if there is none
     */
    void onResponse(AttemptOutcome outcome, int cacheStatus, float[] loadReport, ByteBuf value, String receipt) {
        Attempt attempt = attempts.removeResponded();
        attempt.onSettled();
        receivingLongValue = false;
        progress.expectNothing();
        responded = true;
        if (!accepted && outcome != AttemptOutcome.FULL) {
            accepted = true;
            connection.onAccepted();
        }
        connection.markIdleIfEmpty();
        setPaused(false);
        attempt.onEnd(outcome, cacheStatus, loadReport, value, receipt);
        connection.closeIfRetiredAndEmpty();
    }
}
