package cacheproxy.proxy.client;

import cacheproxy.limits.ConnectionEviction;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * What a client connection is doing, for those who decide which connections to close: idle, stalled, or the one to make
 * room. Reads the state of the connection's parts and changes none.
 */
final class ConnectionStatus {
    private final ClientConnection connection;
    private final ResponseQueue responses;
    private final RequestDecoder decoder;
    private final ReadControl readControl;
    private final ConnectionCloser closer;
    private final ConnectionActivity activity;

    ConnectionStatus(
            ClientConnection connection,
            ResponseQueue responses,
            RequestDecoder decoder,
            ReadControl readControl,
            ConnectionCloser closer,
            ConnectionActivity activity) {
        this.connection = connection;
        this.responses = responses;
        this.decoder = decoder;
        this.readControl = readControl;
        this.closer = closer;
        this.activity = activity;
    }

    /** Returns whether no request is open or partly received. */
    boolean isIdle() {
        return responses.isEmpty() && !decoder.isReadingValue() && connection.undecodedBytes() == 0;
    }

    /** Returns whether complete commands may be in what has been read and not decoded. */
    boolean mayHoldCommands() {
        return readControl.isPaused() && !connection.end().isInputDecoded() && connection.undecodedBytes() > 0;
    }

    /** Returns whether the client has sent a complete command, or has had the time to send one. */
    boolean hasHadTimeToSendCommand(double nowMs) {
        return activity.hasHadTimeToSendCommand(nowMs);
    }

    /**
     * Returns the eviction rank: the connection with the highest rank is evicted first, one with a negative rank never.
     */
    double evictionRank(double nowMs) {
        return closer.isFinished()
                ? -1
                : ConnectionEviction.rank(
                        isIdle(),
                        activity.hasSentCommand(),
                        !responses.isEmpty() || mayHoldCommands() || hasUnwrittenBytes(),
                        activity.inactiveMs(nowMs));
    }

    /**
     * Returns whether the client has stopped in the middle of a request, has stopped reading responses, or has never
     * sent a complete request.
     */
    boolean isStalled(double nowMs) {
        return activity.isStalled(nowMs, closer.isFinished() || hasUnwrittenBytes(), isRequestIncomplete(), isIdle());
    }

    /** Describes the connection for operators: the client's address, its commands, and what it waits for. */
    String summary() {
        return "client " + connection.context().channel().remoteAddress() + " commands="
                + connection.counts().commands() + " invalid="
                + connection.counts().invalid() + " open=" + responses.size() + " undecoded="
                + connection.undecodedBytes() + " read_paused=" + readControl.isPaused();
    }

    /** Returns whether bytes that were written wait for the client to read. */
    boolean hasUnwrittenBytes() {
        ChannelOutboundBuffer unwritten =
                connection.context().channel().unsafe().outboundBuffer();
        return unwritten != null && unwritten.totalPendingWriteBytes() > 0;
    }

    private boolean isRequestIncomplete() {
        return !readControl.isPaused() && (decoder.isReadingValue() || connection.undecodedBytes() > 0);
    }
}
