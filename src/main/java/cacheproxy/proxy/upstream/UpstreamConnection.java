package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.request.Responder;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;

/**
 * One connection to a server, with the attempts on it. When the connection ends, the server may have processed an
 * attempt only if the last byte of the attempt had been written; the outcome of the attempt depends on that. Used on
 * the event loop only.
 */
public final class UpstreamConnection implements Responder.ValueSource {
    /** How long a connection waits for the rest of a short response, in milliseconds. */
    public static final double PARTIAL_RESPONSE_TIMEOUT_MS = ResponseProgress.PARTIAL_RESPONSE_TIMEOUT_MS;

    /** How many short responses a long value counts as when a connection is selected. */
    private static final int LONG_VALUE_DEPTH = 1000;

    private final Upstream upstream;
    private final AttemptQueue attempts = new AttemptQueue();
    private final AttemptWriter writer;
    private final ResponseReceiver responses;
    private UpstreamCodec codec;
    private Channel channel;
    private SocketAddress address;
    private boolean connected;
    private boolean closed;
    private boolean closedByProxy;
    /** Whether no more attempts are sent on it. */
    private boolean retired;

    private double idleSinceMs;

    UpstreamConnection(Upstream upstream) {
        this.upstream = upstream;
        writer = new AttemptWriter(this, attempts);
        responses = new ResponseReceiver(this, attempts);
        idleSinceMs = upstream.loopContext().nowMs();
    }

    /** The context of the event loop that owns this connection. */
    EventLoopContext loopContext() {
        return upstream.loopContext();
    }

    /** The receiver of its responses, to which its codec passes its input. */
    ResponseReceiver responses() {
        return responses;
    }

    /** The codec; null before {@link #setCodec}. */
    UpstreamCodec codec() {
        return codec;
    }

    /** The channel; null before {@link #beginConnecting}. */
    Channel channel() {
        return channel;
    }

    /** The server's address; null before {@link #beginConnecting}. */
    SocketAddress address() {
        return address;
    }

    /** Sets the codec. Must be called once, before {@link #beginConnecting}. */
    void setCodec(UpstreamCodec newCodec) {
        codec = newCodec;
    }

    /** Sets the channel, which is still connecting. */
    void beginConnecting(ChannelFuture connect, SocketAddress server) {
        channel = connect.channel();
        address = server;
        connect.addListener(done -> connectEnded(done.cause()));
    }

    private void connectEnded(Throwable failure) {
        loopContext().servers().connectCompleted(upstream, failure);
        UpstreamEvents.logConnected(loopContext().events(), this, failure);
        if (failure != null) {
            // A channel that was never active does not report its end to its handlers, so the end is handled here.
            // Otherwise attempts would time out as if they might have been processed, and the connection would be
            // counted forever.
            onClosed();
            return;
        }
        connected = true;
        markIdleIfEmpty();
        writer.writeWaiting();
    }

    // ---- state, for the choice of a connection

    boolean isConnected() {
        return connected;
    }

    /** Whether the connection has closed or could not be established. */
    boolean isClosed() {
        return closed;
    }

    /**
     * The number of attempts on the connection. A long value counts as many, because its client may take seconds to
     * read it.
     */
    int depth() {
        return responses.isReceivingLongValue() ? attempts.size() + LONG_VALUE_DEPTH : attempts.size();
    }

    /** Whether a long value is being received. */
    boolean isReceivingLongValue() {
        return responses.isReceivingLongValue();
    }

    /** Whether no more attempts are sent on it. */
    boolean isRetired() {
        return retired;
    }

    /** Whether the proxy has closed the connection; otherwise the server or the network has. */
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
        return responses.hasResponded();
    }

    /** Since when the connection has been idle; valid if {@link #isEmpty}. */
    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Whether an attempt may be sent on it, given the maximum number of attempts. */
    boolean isUsable(int maxDepth) {
        return !closed
                && !retired
                && attempts.size() < maxDepth
                && (!connected || (channel.isActive() && channel.isWritable()));
    }

    /** When its server was first known to be draining or gone; infinite if the server is ready. */
    public double serverUnavailableSinceMs() {
        return upstream.unavailableSinceMs();
    }

    /** The number of attempts that wait for the connection, or for their response on it. */
    public int queueLength() {
        return attempts.size();
    }

    /** The server's name in the event log: its id and address. */
    public String name() {
        return Integer.toHexString(upstream.id()) + "@" + address;
    }

    // ---- sending

    /** Sends an attempt, or queues it until the connection is established and writable. */
    void send(Attempt attempt) {
        attempt.assignTo(this);
        attempts.add(attempt);
        writer.writeWaiting();
    }

    /**
     * Abandons an attempt whose response is no longer needed. An attempt that has not begun is removed. If all attempts
     * on this connection are abandoned, the connection is closed, unless too many connections have been closed
     * recently.
     *
     * @return whether the attempt was removed before it had begun
     */
    public boolean abandon(Attempt attempt) {
        if (!attempt.hasBegun()) {
            return attempts.removeWaiting(attempt);
        }
        // A retired connection takes no more attempts, so keeping it open would not save a new connection.
        if (attempts.abandon(attempt) && (retired || loopContext().mayClose(attempt.hedgingAllowed()))) {
            close();
        }
        return false;
    }

    /**
     * Abandons an attempt in favor of another one of its request, which must not begin before this connection has
     * closed. Closes it, unless that would cut off an attempt that may not be repeated, or too many connections have
     * been closed recently; the other attempts on it are then repeated elsewhere.
     */
    public void giveUp(Attempt attempt) {
        abandon(attempt);
        if (!closedByProxy
                && attempts.mayAllBeCutOff(loopContext().nowMs())
                && loopContext().mayCutOff(attempts.size())) {
            close();
        }
    }

    @Override
    public void setPaused(boolean pause) {
        responses.setPaused(pause);
    }

    @Override
    public boolean isWhole() {
        return codec.holdsWholeValue();
    }

    // ---- what the codec and the responses report

    /** Called when the channel becomes writable or unwritable. */
    void onWritabilityChanged() {
        writer.writeWaiting();
    }

    /** Called when the handling of input begins or ends; see {@link AttemptWriter#setReading}. */
    void setReading(boolean handling) {
        writer.setReading(handling);
    }

    /** Called when the server has sent a response other than an overload rejection. */
    void onAccepted() {
        upstream.onConnectionAccepted();
    }

    /** Records that the connection is idle from now on, if no attempt is left. */
    void markIdleIfEmpty() {
        if (attempts.isEmpty()) {
            idleSinceMs = loopContext().nowMs();
        }
    }

    /** Closes the connection if no attempt is left and none will be sent on it. */
    void closeIfRetiredAndEmpty() {
        if (attempts.isEmpty() && retired) {
            close();
        }
    }

    /** Called when the input violates the protocol, so that what follows can't be told apart. */
    void onProtocolError(String reason) {
        loopContext().load().invalidServerResponse();
        loopContext().log("bad answer of " + address + ": " + reason);
        close();
    }

    // ---- the end

    /** Sends no more attempts on it. */
    void retire() {
        retired = true;
    }

    /** Closes it if its server has stopped responding. */
    void closeIfStalled(double nowMs) {
        if (responses.isStalled(nowMs)) {
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

    /**
     * Called when the connection has closed or could not be established: ends its attempts, or sends those that have
     * not begun on other connections.
     */
    void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        if (responses.hasOnlyRefused() && !retired) {
            // The server has sent only overload rejections and has closed the connection: it has no capacity for
            // another one.
            upstream.onConnectionRefused();
        }
        upstream.onClosed(this);
        UpstreamEvents.logDisconnected(loopContext().events(), this);
        for (Attempt attempt; (attempt = attempts.removeFirst()) != null; ) {
            if (attempt.hasBegun()) {
                attempt.onSettled();
            }
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
