package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import io.netty.buffer.ByteBuf;

/**
 * The responses on one connection, as its codec reads them: hands each to its attempt, pauses reading where a client
 * does not take a long value as fast as it comes, and notices responses that do not continue. Used on the event loop
 * only.
 */
final class ResponseReceiver {
    /** A long value that has not continued for this long, or a response that is late by this much, will not come. */
    private static final double STALL_TIMEOUT_MS = 3000;

    private final UpstreamConnection connection;
    private final AttemptQueue attempts;
    private final ResponseProgress progress;
    /** Whether the client that takes a long value has paused it. */
    private boolean paused;
    /** Whether a long value is being received. */
    private boolean receivingLongValue;
    /** Whether the server has responded on the connection. */
    private boolean responded;
    /** Whether the server has responded otherwise than by refusing for overload, and so has accepted the connection. */
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

    /** Whether the server has done nothing but refuse for overload. */
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

    /** The client that takes a long value pauses it, or takes more. */
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

    /** Whether the client that takes a long value has paused it. */
    boolean isPaused() {
        return paused;
    }

    /** Suspends or resumes reading for the codec's sake. */
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

    /** The attempt whose response comes next; null if none has begun, so that no response is due. */
    Attempt currentAttempt() {
        Attempt first = attempts.first();
        return first == null || first.hasBegun() ? first : null;
    }

    /** A part of a short response has come. */
    void onPartialResponse() {
        progress.partialReceived();
    }

    /** A long value begins. Returns false if nobody waits for it, so that it is to be dropped. */
    boolean onLongValueBegin(int length) {
        receivingLongValue = true;
        // Its head may have come in parts; the limit on pauses of short responses no longer applies.
        progress.expectNothing();
        progress.recordProgress();
        return attempts.first().onValueBegin(length);
    }

    /** A part of a long value, which the callee releases. */
    void onLongValuePart(ByteBuf part) {
        progress.recordProgress();
        attempts.first().onValuePart(part);
    }

    /** A response without a value or receipt, or the end of a long value, has come. */
    void onResponse(AttemptOutcome outcome, int cacheStatus, float[] loadReport) {
        onResponse(outcome, cacheStatus, loadReport, null, null);
    }

    /**
     * A response, or the end of a long value, has come; see {@link Attempt#onEnd}.
     *
     * @param value which the callee releases; null if there is none, or it has come in parts
     * @param receipt null if there is none
     */
    void onResponse(AttemptOutcome outcome, int cacheStatus, float[] loadReport, ByteBuf value, String receipt) {
        Attempt attempt = attempts.removeResponded();
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
