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
 * The response to one command of a client connection, in its place among the others: encodes it, and holds it until it
 * is its turn to be written.
 */
final class PendingResponse implements Responder {
    /** What a value's response has besides the value and the echo: {@code VA}, the length and two line ends. */
    private static final int MAX_VALUE_FRAME_BYTES = 24;
    /** Parts in one buffer before they are copied together. */
    private static final int MAX_COMPOSITE_PARTS = 64;

    private final ClientConnection connection;
    private final MetaProtocol protocol;
    /** The flags that the client wants back. */
    private final String echo;
    /** Null once it has been submitted. */
    private ClientRequest request;

    private RequestHandler.Handle handle;
    /** What is ready to be written; null if there is nothing, or it has been written. */
    private ByteBuf readyBytes;
    /** Whether all of the response is known. */
    private boolean complete;
    /** Whether a value that is passed on in parts has begun. */
    private boolean valueBegun;
    /** Where the rest of such a value comes from. */
    private ValueSource source;

    private boolean streamOpen;

    /**
     * The response to a command.
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

    /** Whether the client has got nothing of the response yet. */
    boolean isUnanswered() {
        return !complete && !valueBegun;
    }

    boolean isComplete() {
        return complete;
    }

    /** Writes, without flushing, what is ready; returns whether there was anything. */
    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    boolean writeReady(ChannelHandlerContext ctx) {
        if (readyBytes == null) {
            return false;
        }
        ctx.write(readyBytes);
        readyBytes = null;
        return true;
    }

    /** Pauses the source of a value unless this response is the next one and the client takes what is written. */
    void updateFlowControl(boolean isNext, ChannelHandlerContext ctx) {
        if (source != null) {
            source.setPaused(!isNext || !ctx.channel().isWritable());
        }
    }

    /** Reports that the connection is closed without this response. */
    void recordUnansweredClose(CloseCause cause) {
        connection
                .loopContext()
                .invariants()
                .recordViolation(
                        Invariant.CLOSE_OWES_NOTHING, echo.trim(), "its connection is closed, " + cause.label());
    }

    /** The connection is closed: releases what is held and tells the request's handler. */
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

    /** Responds by a whole line, with its end. */
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

    /** Closes the connection, as nothing else tells the client that the value is incomplete. */
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
