package cacheproxy.proxy.client;

import cacheproxy.proxy.net.ReadPause;
import cacheproxy.proxy.net.SocketState;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * A connection of a client that uses the meta commands: submits its requests to the owner's handler and writes the
 * responses in the order of the requests.
 */
final class ClientConnection extends ByteToMessageDecoder implements RequestDecoder.Output {
    /** The response to a request that is not sent to any server, as the connection is about to end. */
    private static final String BUSY_LINE = MetaCodec.BUSY_PREFIX + "\r\n";

    private final EventLoopContext loopContext;
    private final ConnectionOwner owner;
    private final double closingPosition;
    private final ResponseQueue responses = new ResponseQueue();
    private final RequestDecoder decoder;
    private final ReadControl readControl;
    private final ConnectionCloser closer;
    private final ConnectionActivity activity = new ConnectionActivity();
    private final RequestSubmitter submitter;
    private final CommandTurns turns;
    private final ImmediateResponses immediateResponses = new ImmediateResponses(this);
    private final CommandCounts counts = new CommandCounts();
    private final RequestAdmission admission;
    private final ConnectionStatus status;
    private final ConnectionEnd end;
    private final Runnable flush = this::flush;
    private ChannelHandlerContext ctx;
    private boolean flushScheduled;
    /** Whether what was read is being decoded. */
    private boolean handlingInput;
    /** Whether it is unknown where the next command begins in what is read. */
    private boolean framingLost;

    /**
     * Creates a connection that is not registered with a channel yet.
     *
     * @param closingPosition from 0 to under 1; connections are closed in this order when a listener drains
     */
    ClientConnection(EventLoopContext loopContext, ConnectionOwner owner, double closingPosition) {
        this.loopContext = loopContext;
        this.owner = owner;
        this.closingPosition = closingPosition;
        decoder = new RequestDecoder(loopContext, owner, this);
        readControl = new ReadControl(loopContext);
        closer = new ConnectionCloser(loopContext, responses);
        submitter = new RequestSubmitter(this, owner);
        turns = new CommandTurns(this, readControl);
        admission = new RequestAdmission(this, responses, readControl, closer, submitter::resume);
        end = new ConnectionEnd(this, owner, responses, readControl, closer, activity);
        status = new ConnectionStatus(this, responses, decoder, readControl, closer, activity);
    }

    /** The position of this connection in the order in which connections are closed, from 0 to under 1. */
    double closingPosition() {
        return closingPosition;
    }

    /** The context of the event loop that the connection belongs to. */
    EventLoopContext loopContext() {
        return loopContext;
    }

    /** The handler's context; null before it is added to a channel. */
    ChannelHandlerContext context() {
        return ctx;
    }

    /** Decides which commands and requests this connection may take on. */
    RequestAdmission admission() {
        return admission;
    }

    /** Limits how many commands are decoded before other connections have their turn. */
    CommandTurns turns() {
        return turns;
    }

    /** The responses that the proxy gives by itself. */
    ImmediateResponses immediateResponses() {
        return immediateResponses;
    }

    /** How many commands the client has sent. */
    CommandCounts counts() {
        return counts;
    }

    /** The allocator of the channel's buffers. */
    ByteBufAllocator allocator() {
        return ctx.alloc();
    }

    /** Sets how many bytes may wait for the client before the channel is no longer writable. */
    void setWriteBufferWaterMark(WriteBufferWaterMark waterMark) {
        ctx.channel().config().setWriteBufferWaterMark(waterMark);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
        readControl.accepted(owner.queuedSinceMs());
        activity.accepted(loopContext.nowMs());
    }

    // ---- state

    /** What the listener and the registry of connections ask before they close it. */
    ConnectionStatus status() {
        return status;
    }

    /**
     * Returns whether nothing more is written, as the proxy's output is shut down or will be, and the client has not
     * closed its side.
     */
    boolean isFinished() {
        return closer.isFinished();
    }

    /**
     * Returns whether the operating system has seen the client close the connection, even if that event has not been
     * handled yet.
     */
    boolean hasClientLeft() {
        return SocketState.isEndedByPeer(ctx.channel());
    }

    /** Returns whether the socket is not read from. */
    boolean isReadingPaused() {
        return readControl.isPaused();
    }

    // ---- closing

    /** Decides when the proxy ends the connection by its own choice. */
    ConnectionEnd end() {
        return end;
    }

    /**
     * Closes the connection if the client has closed it, without a regard to what it has sent and was not read; returns
     * whether it has.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    boolean closeIfClientLeft() {
        boolean left = hasClientLeft();
        if (left) {
            ctx.close();
        }
        return left;
    }

    /** Rejects the requests that wait for memory, so that nothing of them is sent to a server. */
    void rejectWaitingRequests() {
        submitter.rejectWaiting();
    }

    /** Cancels the long values of which nothing has been written, so that the responses behind them can be. */
    void cancelHeldValues() {
        responses.cancelHeldValues();
    }

    /** Ends the connection within the first response, whose rest will not arrive. */
    void abortResponse() {
        closer.abortResponse(ctx);
    }

    // ---- requests

    /** Returns whether an event of the connection's own input is being handled. */
    boolean isHandlingInput() {
        return handlingInput;
    }

    /** Handles what has been read from the socket in addition to what the event loop reads. */
    void receive(ByteBuf received) {
        readControl.readBesidesPoll();
        ctx.pipeline().fireChannelRead(received);
        ctx.pipeline().fireChannelReadComplete();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        boolean nested = handlingInput;
        handlingInput = true;
        try {
            handleInput(context, message);
        } finally {
            handlingInput = nested;
        }
    }

    private void handleInput(ChannelHandlerContext context, Object message) throws Exception {
        activity.active(loopContext.nowMs());
        boolean bytesRead = message != Unpooled.EMPTY_BUFFER;
        closer.bytesRead(((ByteBuf) message).readableBytes());
        if (bytesRead && (closer.isFinished() || framingLost)) { // read only to see the client close its side
            ReferenceCountUtil.release(message);
            return;
        }
        if (bytesRead) {
            readControl.bytesRead(context.channel());
            turns.readBegins();
        }
        boolean readAfterEnd = bytesRead && end.hasReadingEnded(); // a read that was under way when reading ended
        if (readAfterEnd) {
            end.commandsRead();
        }
        super.channelRead(context, message);
        if (readAfterEnd) {
            turns.resume();
        }
        if (!bytesRead || !immediateResponses.isEmpty()) {
            writeResponses(); // after a pause it is now known which commands wait behind a long value
        }
        admission.accountInput(undecodedBytes());
    }

    /** Decodes what has been read before, as far as the connection may in one turn. */
    void decodeBufferedInput() {
        ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER); // only makes the decoder continue
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) {
        if (closer.isFinished() || framingLost) {
            input.skipBytes(input.readableBytes());
            return;
        }
        if (!turns.mayDecode() || !admission.admitCommand()) {
            return;
        }
        int undecoded = input.readableBytes();
        try {
            decoder.decode(input, ctx.alloc());
            turns.decoded(undecoded - input.readableBytes());
        } catch (MetaCodec.SyntaxException e) {
            respond("CLIENT_ERROR " + e.getMessage() + "\r\n", false);
            framingLost = true;
            input.skipBytes(input.readableBytes());
            end.endReading();
        }
    }

    /** Unlike the overridden method, does not read again if no message was fired, because reading may be paused. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        turns.readEnds();
        discardSomeReadBytes();
        context.fireChannelReadComplete();
    }

    /** Stops reading further commands, until {@link #updateFlowControl} finds that they may be taken. */
    void pauseReading() {
        readControl.pause(ctx, ReadPause.OPEN_REQUESTS);
    }

    /** The number of bytes that have been read and not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Returns whether commands have been read behind the first one that has no complete response yet. */
    boolean hasCommandsBehindFirst() {
        return responses.size() > 1 || status.mayHoldCommands();
    }

    @Override
    public void request(ClientRequest request, MetaProtocol protocol, String echo) {
        if (closer.isClosing()) {
            request.release(loopContext);
            respond(BUSY_LINE, true);
            return;
        }
        commandReceived(true);
        request.setArrivedMs(readControl.unreadSinceMs());
        submitter.submitLater(addResponse(protocol, echo, request));
    }

    @Override
    public void respond(String responseLine, boolean valid) {
        commandReceived(valid);
        if (responses.isEmpty()) {
            immediateResponses.add(responseLine);
        } else {
            addResponse(MetaProtocol.platform(), "", null).respond(responseLine);
        }
    }

    private void commandReceived(boolean valid) {
        activity.commandReceived();
        counts.commandReceived(valid);
        loopContext.load().commandReceived(valid);
    }

    private PendingResponse addResponse(MetaProtocol protocol, String echo, ClientRequest request) {
        PendingResponse response = new PendingResponse(this, protocol, echo, request);
        responses.add(response);
        return response;
    }

    // ---- responses

    /**
     * Writes the responses that are ready, in the order of the requests, and ends the connection if it is due to be
     * closed.
     */
    void writeResponses() {
        boolean wroteImmediate = !closer.isFinished() && immediateResponses.write(ctx);
        boolean wrote = responses.writeReady(ctx, closer) || wroteImmediate;
        if (wrote) {
            activity.responseWritten(loopContext.nowMs());
            flushWritten(wroteImmediate);
        }
        updateFlowControl();
        if (end.isDue() || end.onlyRejects()) {
            end.attempt();
        } else if (wrote && responses.isEmpty()) {
            owner.connectionIdle(this);
        }
    }

    /** @param now whether to flush within the time that is counted as this connection's */
    private void flushWritten(boolean now) {
        if (now || owner.closesWhenIdle(this)) {
            ctx.flush();
        } else if (!flushScheduled) {
            flushScheduled = true;
            loopContext.flushLater(flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        ctx.flush();
    }

    /**
     * Pauses or resumes value sources and the reading of requests, depending on how fast the client reads responses.
     */
    void updateFlowControl() {
        responses.updateFlowControl(ctx);
        submitter.resume();
        admission.resumeReading();
    }

    // ---- events of the channel

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        activity.active(loopContext.nowMs());
        updateFlowControl();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        closer.closed(ctx, actualReadableBytes());
        super.channelInactive(context);
        decoder.close();
        submitter.clear();
        responses.close(loopContext);
        immediateResponses.close();
        admission.close();
        owner.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable error) {
        closer.closeAfter(error, ctx);
    }
}
