package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.request.Responder;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;

/**
 * One connection to a server, with the attempts on it. When it ends, an attempt on it may have been processed only if
 * its last byte had been written; that decides about its outcome. Used on the event loop only.
 */
public final class UpstreamConnection implements Responder.ValueSource {
    /** How long a connection waits for the rest of a short response, in milliseconds. */
    public static final double CUT_MS = ResponseProgress.CUT_MS;

    /** A long value that has not continued for this long, or a response that is late by this much, will not come. */
    private static final double STALLED_MS = 3000;

    /** For how many short responses a long value counts in the choice of a connection. */
    private static final int LONG_VALUE_DEPTH = 1000;

    private final Upstream upstream;
    private final AttemptQueue attempts = new AttemptQueue();
    private final ResponseProgress progress;
    private final Runnable flush = this::flush;
    private UpstreamCodec codec;
    private Channel channel;
    private SocketAddress address;
    private boolean connected;
    private boolean closed;
    private boolean closedByProxy;
    /** Whether no more attempts are sent on it. */
    private boolean retired;
    /** Whether input is being handled, so that attempts are not written until its end. */
    private boolean reading;
    /** Whether the client that takes a long value has paused it. */
    private boolean paused;
    /** Whether a long value is being received. */
    private boolean receivingLongValue;

    private boolean flushPending;
    /** Whether the server has responded on it. */
    private boolean responded;
    /** Whether the server has responded otherwise than by refusing for overload, and so has accepted the connection. */
    private boolean accepted;

    private double idleSinceMs;

    UpstreamConnection(Upstream upstream) {
        this.upstream = upstream;
        progress = new ResponseProgress(upstream.core(), () -> closed, this::close);
        idleSinceMs = upstream.core().nowMs();
    }

    /** The context of the event loop that owns this connection. */
    EventLoopContext core() {
        return upstream.core();
    }

    /** Sets the codec; to be called once, before {@link #opening}. */
    void setCodec(UpstreamCodec newCodec) {
        codec = newCodec;
    }

    /** Takes over the channel while it connects. */
    void opening(ChannelFuture connect, SocketAddress server) {
        channel = connect.channel();
        address = server;
        connect.addListener(done -> connectEnded(done.cause()));
    }

    private void connectEnded(Throwable failure) {
        core().servers().opened(upstream, failure);
        UpstreamEvents.logConnected(core().events(), this, failure);
        if (failure != null) {
            // A channel that was never active reports no end to its handlers, so it has to be done here. Else attempts
            // would time out as ones that may have been processed, and the connection would count for good.
            onClosed();
            return;
        }
        connected = true;
        if (attempts.isEmpty()) {
            idleSinceMs = core().nowMs();
        }
        writeWaiting();
    }

    // ---- state, for the choice of a connection

    boolean isConnected() {
        return connected;
    }

    /** Its attempts, where a long value counts as many: a client takes it, which may last for seconds. */
    int depth() {
        return receivingLongValue ? attempts.size() + LONG_VALUE_DEPTH : attempts.size();
    }

    /** Whether a long value is being received. */
    boolean isReceivingLongValue() {
        return receivingLongValue;
    }

    /** Whether no more attempts are sent on it. */
    boolean isRetired() {
        return retired;
    }

    /** Whether the proxy has closed it; else the server has, or the network. */
    boolean isClosedByProxy() {
        return closedByProxy;
    }

    /** Whether no attempt is on it. */
    boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Whether it is being closed by the proxy, with no response outstanding. */
    boolean isEnding() {
        return retired && connected && attempts.isEmpty();
    }

    /** Whether its server has responded on it. */
    boolean hasResponded() {
        return responded;
    }

    /** Since when no attempt has been on it; valid if {@link #isEmpty}. */
    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Whether an attempt may be sent on it, given the greatest number of attempts. */
    boolean isUsable(int maxDepth) {
        return !closed
                && !retired
                && attempts.size() < maxDepth
                && (!connected || (channel.isActive() && channel.isWritable()));
    }

    /** Since when its server is known to drain or to be gone; infinite if it is ready. */
    public double serverLeftMs() {
        return upstream.unavailableSinceMs();
    }

    /** Attempts that wait for it or for their response on it. */
    public int queueLength() {
        return attempts.size();
    }

    /** How its server is named in the event log: its id and address. */
    public String name() {
        return Integer.toHexString(upstream.id()) + "@" + address;
    }

    // ---- sending

    /** Sends an attempt, or queues it until the connection is up and takes more. */
    void send(Attempt attempt) {
        attempt.assignTo(this);
        attempts.add(attempt);
        writeWaiting();
    }

    /**
     * Writes those that wait, in their order, for as long as the connection takes more: the deadline that is written
     * with a request holds only if it goes out soon, not if it is buffered behind a long value. Those that may not
     * begin any more are removed.
     */
    private void writeWaiting() {
        while (attempts.hasWaiting()
                && connected
                && !reading
                && !closed
                && channel.isActive()
                && channel.isWritable()) {
            Attempt next = attempts.firstWaiting();
            if (next.mayBegin()) {
                attempts.begin(next);
                write(next);
            } else {
                attempts.removeWaiting(next);
            }
        }
    }

    private void write(Attempt attempt) {
        attempt.onBegin();
        codec.write(channel, attempt, address).addListener(done -> {
            if (done.isSuccess()) {
                attempt.markWritten();
            }
        });
        if (!flushPending) {
            flushPending = true;
            core().flushLater(flush);
        }
    }

    private void flush() {
        flushPending = false;
        channel.flush();
    }

    /**
     * Nobody needs the response of an attempt any more. If it has not begun, it is removed. If all on this connection
     * are abandoned, the connection is closed, unless too many have been.
     *
     * @return whether it was removed before it had begun
     */
    public boolean giveUp(Attempt attempt) {
        if (!attempt.hasBegun()) {
            return attempts.removeWaiting(attempt);
        }
        // A retired one takes no more attempts, so that keeping it would not save a new connection.
        if (attempts.abandon(attempt) && (retired || core().mayClose(attempt.hedgingAllowed()))) {
            close();
        }
        return false;
    }

    /** The channel takes more again, or no more for now. */
    void onWritabilityChanged() {
        writeWaiting();
    }

    // ---- flow control

    @Override
    public void setPaused(boolean pause) {
        if (paused != pause) {
            paused = pause;
            progress.advanced();
            channel.config().setAutoRead(!pause);
            if (!pause) {
                codec.resume();
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
            progress.advanced();
            progress.expectNothing();
        }
        channel.config().setAutoRead(readable && !paused);
    }

    // ---- responses, as the codec reads them

    /**
     * Input begins to be handled, or has been handled. Attempts are not written meanwhile: bytes that follow a response
     * at once are not part of it, and would pass for the response of an attempt that is written now, as the origin's
     * responses carry no id.
     */
    void setReading(boolean handling) {
        reading = handling;
        writeWaiting();
    }

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
        progress.advanced();
        return attempts.first().onValueBegin(length);
    }

    /** A part of a long value, which the callee releases. */
    void onLongValuePart(ByteBuf part) {
        progress.advanced();
        attempts.first().onValuePart(part);
    }

    /** A response without a value or receipt, or the end of a long value, has come. */
    void onResponse(AttemptOutcome outcome, int cacheStatus, float[] report) {
        onResponse(outcome, cacheStatus, report, null, null);
    }

    /**
     * A response, or the end of a long value, has come; see {@link Attempt#onEnd}.
     *
     * @param value which the callee releases; null if there is none, or it has come in parts
     * @param receipt null if there is none
     */
    void onResponse(AttemptOutcome outcome, int cacheStatus, float[] report, ByteBuf value, String receipt) {
        Attempt attempt = attempts.removeResponded();
        receivingLongValue = false;
        progress.expectNothing();
        responded = true;
        if (!accepted && outcome != AttemptOutcome.FULL) {
            accepted = true;
            upstream.onConnectionAccepted();
        }
        if (attempts.isEmpty()) {
            idleSinceMs = core().nowMs();
        }
        setPaused(false);
        attempt.onEnd(outcome, cacheStatus, report, value, receipt);
        if (attempts.isEmpty() && retired) {
            close();
        }
    }

    /** Input violates the protocol. */
    void onProtocolError(String reason) {
        core().log("bad answer of " + address + ": " + reason);
        close();
    }

    // ---- the end

    /** Sends no more attempts on it. */
    void retire() {
        retired = true;
    }

    /** Closes it if its server has stopped responding. */
    void closeIfStalled(double nowMs) {
        Attempt first = attempts.first();
        boolean silent = connected && first != null && first.hasEnded() && nowMs - first.timeoutAtMs() > STALLED_MS;
        if (silent || (receivingLongValue && !paused && progress.pausedForMs(nowMs) > STALLED_MS)) {
            close();
        }
    }

    /** Closes it; its attempts end when the channel has closed. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void close() {
        closedByProxy = true;
        retired = true;
        if (channel != null) {
            channel.close();
        }
        if (codec != null) {
            codec.discard();
        }
    }

    /** It has closed, or has never come up: ends its attempts, or sends them elsewhere if they have not begun. */
    void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        if (responded && !accepted && !retired) {
            // The server only refused for overload, and closed it: it has no capacity for one more connection.
            upstream.onConnectionRefused();
        }
        upstream.onClosed(this);
        UpstreamEvents.logDisconnected(core().events(), this);
        for (Attempt attempt; (attempt = attempts.removeFirst()) != null; ) {
            if (!sendElsewhere(attempt)) {
                attempt.onEnd(attempt.isWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
            }
        }
    }

    private boolean sendElsewhere(Attempt attempt) {
        if (attempt.hasBegun() || attempt.hasEnded()) {
            return false;
        }
        return connected ? upstream.send(attempt) : upstream.sendOnConnected(attempt);
    }
}
