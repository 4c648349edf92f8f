package cacheproxy.proxy.client;

import cacheproxy.invariant.Invariant;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.WriteBufferWaterMark;

/**
 * The response to one command of a client connection: encodes it, and holds it until all earlier responses have been
 * written.
 */
final class PendingResponse implements Responder {
    /**
     * The maximum length of a value's response without the value and the echo: {@code VA}, the length and two line
     * ends.
     */
    private static final int MAX_VALUE_FRAME_BYTES = 24;
    /** The maximum number of parts in one buffer; if there are more, they are copied together. */
    private static final int MAX_COMPOSITE_PARTS = 64;

    private final ClientConnection connection;
    private final MetaProtocol protocol;
    /** The flags that the response repeats, with a space before each. */
    private final String echo;
    /** The request to submit; null once it has been submitted, or if there is none. */
    private ClientRequest request;

    private RequestHandler.Handle handle;
    /** The bytes that are ready to be written; null if there are none, or they have been written. */
    private ByteBuf readyBytes;
    /** Whether the whole response is known. */
    private boolean complete;
    /** Whether a value that is streamed in parts has begun. */
    private boolean valueBegun;
    /** The source of the remaining parts of a streamed value. */
    private ValueSource source;

    private boolean streamOpen;

    /**
     * Creates the response to a command.
     *
     * @param request the request to submit; null for a command that the proxy responds to itself
     */
    PendingResponse(ClientConnection connection, MetaProtocol protocol, String echo, ClientRequest request) {
        this.connection = connection;
        this.protocol = protocol;
        this.echo = echo;
        this.request = request;
    }

    /** Hands the request to the handler, which may respond before it returns. */
    void submit(RequestHandler handler) {
        ClientRequest submitted = request;
        request = null;
        RequestHandler.Handle submittedHandle = handler.submit(submitted, this);
        if (!complete) {
            handle = submittedHandle;
        }
    }

    /** Returns whether no part of the response is known yet. */
    boolean isUnanswered() {
        return !complete && !valueBegun;
    }

    boolean isComplete() {
        return complete;
    }

    /** Writes the bytes that are ready, without flushing; returns whether there were any. */
    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    boolean writeReady(ChannelHandlerContext ctx) {
        if (readyBytes == null) {
            return false;
        }
        ctx.write(readyBytes);
        readyBytes = null;
        return true;
    }

    /**
     * Pauses the source of a streamed value unless this response is the next one and the client reads what is written.
     */
    void updateFlowControl(boolean isNext, ChannelHandlerContext ctx) {
        if (source != null) {
            source.setPaused(!isNext || !ctx.channel().isWritable());
        }
    }

    /** Records the violation that the connection is closed without this response. */
    void recordUnansweredClose(CloseCause cause) {
        connection
                .loopContext()
                .invariants()
                .recordViolation(
                        Invariant.CLOSE_OWES_NOTHING, echo.trim(), "its connection is closed, " + cause.label());
    }

    /**
     * Handles the close of the connection: releases the request and the buffers, and notifies the request's handler.
     */
    void clientDisconnected(EventLoopContext loopContext) {
        if (request != null) {
            request.release(loopContext);
            request = null;
        }
        if (readyBytes != null) {
            readyBytes.release();
            readyBytes = null;
        }
        if (source != null) {
            source.setPaused(false);
            streamEnded();
        }
        if (handle != null) {
            handle.clientDisconnected();
        }
    }

    /** Responds with a complete line, including its line end. */
    void respond(String line) {
        complete(MetaCodec.ascii(connection.allocator(), line));
    }

    private void complete(ByteBuf response) {
        if (complete || valueBegun) {
            connection
                    .loopContext()
                    .invariants()
                    .recordViolation(Invariant.SINGLE_ANSWER, echo.trim(), "a second answer was dropped");
            response.release();
            return;
        }
        readyBytes = response;
        complete = true;
        handle = null;
        connection.writeResponses();
    }

    @Override
    public void value(ByteBuf value) {
        int length = value.readableBytes();
        ByteBuf response = connection.allocator().buffer(MAX_VALUE_FRAME_BYTES + echo.length() + length);
        ByteBufUtil.writeAscii(response, "VA ");
        MetaCodec.writeDecimal(response, length);
        ByteBufUtil.writeAscii(response, echo);
        response.writeShort(MetaCodec.CRLF)
                .writeBytes(value, value.readerIndex(), length)
                .writeShort(MetaCodec.CRLF);
        value.release();
        complete(response);
    }

    @Override
    public void stored(String receipt) {
        respond(protocol.storedLine(echo, receipt));
    }

    @Override
    public void miss() {
        respond(protocol.missLine(echo));
    }

    @Override
    public void busy(double retryAfterMs) {
        respond(MetaCodec.BUSY_PREFIX + (retryAfterMs >= 1 ? " " + Math.round(retryAfterMs) : "") + "\r\n");
    }

    @Override
    public void failed() {
        respond(MetaCodec.FAILED_LINE);
    }

    @Override
    public void badRequest(String reason) {
        respond("CLIENT_ERROR " + reason + "\r\n");
    }

    @Override
    public void beginValue(int lengthBytes, ValueSource valueSource) {
        source = valueSource;
        valueBegun = true;
        int maxUnwrittenBytes = connection.loopContext().openStream();
        streamOpen = true;
        connection.setWriteBufferWaterMark(new WriteBufferWaterMark(maxUnwrittenBytes / 2, maxUnwrittenBytes));
        valuePart(MetaCodec.ascii(connection.allocator(), "VA " + lengthBytes + echo + "\r\n"));
    }

    @Override
    public void valuePart(ByteBuf part) {
        if (connection.isFinished()) {
            part.release();
        } else if (readyBytes == null) {
            readyBytes = part;
        } else {
            CompositeByteBuf parts = readyBytes instanceof CompositeByteBuf composite
                    ? composite
                    : connection
                            .allocator()
                            .compositeBuffer(MAX_COMPOSITE_PARTS)
                            .addComponent(true, readyBytes);
            readyBytes = parts.addComponent(true, part);
        }
        connection.writeResponses();
    }

    @Override
    public void endValue() {
        streamEnded();
        if (!connection.isFinished()) {
            valuePart(MetaCodec.ascii(connection.allocator(), "\r\n"));
        }
        complete = true;
        handle = null;
        connection.writeResponses();
    }

    /** Closes the connection, because nothing else shows the client that the value is incomplete. */
    @Override
    public void abortValue() {
        streamEnded();
        connection.close(CloseCause.RESPONSE_ABORTED);
    }

    @Override
    public boolean hasClientLeft() {
        return connection.hasClientLeft();
    }

    private void streamEnded() {
        source = null;
        if (streamOpen) {
            streamOpen = false;
            connection.loopContext().closeStream();
        }
    }
}
