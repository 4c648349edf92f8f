package cacheproxy.proxy.client;

import cacheproxy.invariant.Invariant;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.request.RequestHandler;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/**
 * The response to one command of a client connection: encodes it, and holds it until all earlier responses have been
 * written.
 */
final class PendingResponse implements Responder {
    private final ClientConnection connection;
    private final MetaProtocol protocol;
    /** The flags that the response repeats, with a space before each. */
    private final String echo;

    private final ResponseClaim claim;
    /** The memory of the command, to be released once. */
    private int commandBytes;
    /** The request to submit; null once it has been submitted, or if there is none. */
    private ClientRequest request;

    private RequestHandler.Handle handle;
    /** How long the client waits for the response from when it sent the request, in milliseconds. */
    private double patienceMs;
    /** The bytes that are ready to be written; null if there are none, or they have been written. */
    private ByteBuf readyBytes;
    /** Whether the whole response is known. */
    private boolean complete;
    /** The long value that has begun; null if none has, or if it has broken off before its first byte was written. */
    private LongValue longValue;

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
        claim = new ResponseClaim(connection.admission().memory());
        commandBytes = connection.admission().commandMemory().charge(request);
    }

    /**
     * Claims the memory that the response will probably take while it waits behind others; returns false if there is
     * not enough.
     */
    boolean claimExpectedMemory() {
        return request.isWrite() || claim.expectQueued(); // the response to a write is a line
    }

    /** Responds that the request has been rejected, instead of submitting it. */
    void reject() {
        request.release(connection.loopContext());
        request = null;
        busy(0);
    }

    /** Hands the request to the handler, which may respond before it returns. */
    void submit(RequestHandler handler) {
        ClientRequest submitted = request;
        request = null;
        RequestHandler.Handle submittedHandle = handler.submit(submitted, this);
        if (!complete) {
            handle = submittedHandle;
            patienceMs = submitted.clientDueMs() - submitted.arrivedMs();
        }
    }

    /** Returns whether the response is not known yet: it is not complete, and no part of it has been written. */
    boolean isUnanswered() {
        return !complete && (longValue == null || !longValue.isShown());
    }

    boolean isComplete() {
        return complete;
    }

    /** Returns whether the client is being sent a value that may still break off, which ends the connection. */
    boolean isValueAtRisk() {
        return longValue != null && longValue.isAtRisk();
    }

    /** Called when the last byte of the response is about to be written, or when the client has disconnected. */
    void releaseCommand() {
        connection.admission().commandMemory().release(commandBytes);
        commandBytes = 0;
    }

    /** Writes the bytes that are ready, without flushing; returns whether there were any. */
    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    boolean writeReady(ChannelHandlerContext ctx) {
        if (longValue != null) {
            boolean wrote = longValue.writeReady(ctx);
            if (wrote) {
                claim.release(); // what is written is counted by the long value
            }
            return wrote;
        }
        if (readyBytes == null) {
            return false;
        }
        ByteBuf bytes = readyBytes;
        readyBytes = null;
        ctx.write(bytes).addListener(sent -> claim.release());
        return true;
    }

    /** Pauses the source of a long value, as this is not the first response. */
    void pauseValue() {
        if (longValue != null) {
            longValue.pause();
        }
    }

    /** Pauses or resumes the source of a long value, as this is the first response. */
    void updateFlowControl(ChannelHandlerContext ctx) {
        if (longValue != null) {
            longValue.updateFlowControl(ctx);
        }
    }

    /** Records the violation that the connection is closed without this response. */
    void recordUnansweredClose(CloseCause cause) {
        recordViolation(Invariant.CLOSE_OWES_NOTHING, "its connection is closed, " + cause.label());
    }

    private void recordViolation(Invariant invariant, String reason) {
        connection.loopContext().invariants().recordViolation(invariant, echo.trim(), reason);
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
        if (longValue != null) {
            longValue.resumeSource();
            longValue.release();
        }
        claim.release();
        releaseCommand();
        if (handle != null) {
            handle.clientDisconnected();
        }
    }

    /**
     * Responds with a complete line, including its line end. All lines behind those of {@link ImmediateResponses} are
     * written here: text that would end the line early is replaced by an error, as the client would take the rest for
     * the responses to its next commands.
     */
    void respond(String line) {
        boolean singleLine = MetaCodec.isOneLine(line);
        if (!singleLine) {
            recordViolation(Invariant.SINGLE_LINE, "a response with a line end in it was replaced");
        }
        complete(MetaCodec.ascii(connection.allocator(), singleLine ? line : MetaCodec.FAILED_LINE));
    }

    private void complete(ByteBuf response) {
        if (complete || longValue != null) {
            recordViolation(Invariant.SINGLE_ANSWER, "a second answer was dropped");
            response.release();
            return;
        }
        claim.hold(response.readableBytes());
        readyBytes = response;
        complete = true;
        handle = null;
        connection.writeResponses();
    }

    @Override
    public boolean announceValue(int lengthBytes) {
        connection.admission().memory().valueAnnounced(lengthBytes);
        return claim.reserve(
                ValueResponse.maxBytes(echo, lengthBytes),
                connection.admission().isDue(this));
    }

    @Override
    public void value(ByteBuf value) {
        ByteBuf response;
        try {
            response = ValueResponse.whole(connection.allocator(), echo, value);
        } catch (OutOfMemoryError e) { // nothing else would answer the request
            connection.loopContext().faults().record(e);
            failed();
            return;
        } finally {
            value.release();
        }
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
    public void beginValue(int lengthBytes, ValueSource source) {
        connection.admission().memory().valueAnnounced(lengthBytes);
        ByteBuf head = ValueResponse.head(connection.allocator(), echo, lengthBytes);
        longValue = new LongValue(connection, source, head, lengthBytes, patienceMs, this::cancelValue);
        connection.writeResponses();
    }

    /** Cancels a long value of which nothing has been written. */
    void cancelHeldValue() {
        if (longValue != null && !longValue.isShown()) {
            cancelValue();
        }
    }

    private void cancelValue() {
        if (handle != null) {
            longValue.resumeSource();
            handle.cancelValue();
        }
    }

    @Override
    public void valuePart(ByteBuf part) {
        if (connection.isFinished()) {
            part.release();
        } else {
            longValue.append(part);
        }
        connection.writeResponses();
    }

    @Override
    public void endValue() {
        if (connection.isFinished()) {
            longValue.release();
        } else {
            longValue.end();
        }
        complete = true;
        handle = null;
        connection.writeResponses();
    }

    /**
     * Responds that the request has failed. If a part of the value has been written, closes the connection instead,
     * because nothing else shows the client that the value is incomplete.
     */
    @Override
    public void abortValue() {
        longValue.release();
        if (connection.isFinished()) {
            return;
        }
        if (longValue.isShown()) {
            connection.abortResponse();
        } else {
            longValue = null;
            failed();
        }
    }

    @Override
    public boolean hasClientLeft() {
        return connection.hasClientLeft();
    }
}
