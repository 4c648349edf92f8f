package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.request.Responder;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;

/**
 * One connection to a server, with the attempts on it. When it ends, an attempt on it may have been processed only if
 * its last byte had been written; that decides about its outcome. Used on the event loop only.
 */
public final class UpstreamConnection implements Responder.ValueSource {
    /** How long a connection waits for the rest of a short response, in milliseconds. */
    public static final double PARTIAL_RESPONSE_TIMEOUT_MS = ResponseProgress.PARTIAL_RESPONSE_TIMEOUT_MS;

    /** For how many short responses a long value counts in the choice of a connection. */
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

    /** Its responses, to which its codec hands what it reads. */
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

    /** Sets the codec; to be called once, before {@link #beginConnecting}. */
    void setCodec(UpstreamCodec newCodec) {
        codec = newCodec;
    }

    /** Takes over the channel while it connects. */
    void beginConnecting(ChannelFuture connect, SocketAddress server) {
        channel = connect.channel();
        address = server;
        connect.addListener(done -> connectEnded(done.cause()));
    }

    private void connectEnded(Throwable failure) {
        loopContext().servers().connectCompleted(upstream, failure);
        UpstreamEvents.logConnected(loopContext().events(), this, failure);
        if (failure != null) {
            // A channel that was never active reports no end to its handlers, so it has to be done here. Else attempts
            // would time out as ones that may have been processed, and the connection would count for good.
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

    /** Whether it has closed, or has failed to come up. */
    boolean isClosed() {
        return closed;
    }

    /** Its attempts, where a long value counts as many: a client takes it, which may last for seconds. */
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
        return responses.hasResponded();
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
    public double serverUnavailableSinceMs() {
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
        writer.writeWaiting();
    }

    /**
     * Nobody needs the response of an attempt any more. If it has not begun, it is removed. If all on this connection
     * are abandoned, the connection is closed, unless too many have been.
     *
     * @return whether it was removed before it had begun
     */
    public boolean abandon(Attempt attempt) {
        if (!attempt.hasBegun()) {
            return attempts.removeWaiting(attempt);
        }
        // A retired one takes no more attempts, so that keeping it would not save a new connection.
        if (attempts.abandon(attempt) && (retired || loopContext().mayClose(attempt.hedgingAllowed()))) {
            close();
        }
        return false;
    }

    @Override
    public void setPaused(boolean pause) {
        responses.setPaused(pause);
    }

    // ---- what the codec and the responses report

    /** The channel takes more again, or no more for now. */
    void onWritabilityChanged() {
        writer.writeWaiting();
    }

    /** Input begins to be handled, or has been handled; see {@link AttemptWriter#setReading}. */
    void setReading(boolean handling) {
        writer.setReading(handling);
    }

    /** The server has responded otherwise than by refusing for overload. */
    void onAccepted() {
        upstream.onConnectionAccepted();
    }

    /** If no attempt is left, it is idle from now on. */
    void markIdleIfEmpty() {
        if (attempts.isEmpty()) {
            idleSinceMs = loopContext().nowMs();
        }
    }

    /** Closes it if no attempt is left and none will be sent on it. */
    void closeIfRetiredAndEmpty() {
        if (attempts.isEmpty() && retired) {
            close();
        }
    }

    /** Input violates the protocol. */
    void onProtocolError(String reason) {
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

    /** It has closed, or has never come up: ends its attempts, or sends them elsewhere if they have not begun. */
    void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        if (responses.hasOnlyRefused() && !retired) {
            // The server only refused for overload, and closed it: it has no capacity for one more connection.
            upstream.onConnectionRefused();
        }
        upstream.onClosed(this);
        UpstreamEvents.logDisconnected(loopContext().events(), this);
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
