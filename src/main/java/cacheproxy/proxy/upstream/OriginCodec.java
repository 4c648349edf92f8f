package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.request.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * Codec for HTTP/1.1 to the origin. A long value of announced length is streamed as it arrives. Any other body is
 * buffered until it is complete, because clients receive the length first; a long body is then passed on as fast as its
 * client reads it.
 */
final class OriginCodec extends SimpleChannelInboundHandler<HttpObject> implements UpstreamCodec {
    /** Response headers can take some kilobytes; the limit keeps an endless head from using up memory. */
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final String LOAD_HEADER = "Srv-Load";
    private static final String DECLINED_HEADER = "Srv-Declined";
    private static final String DECLINED = "1";
    /** The origin reports no cache status. */
    private static final int CACHE_STATUS_UNKNOWN = 0;

    private final UpstreamConnection connection;
    private final ResponseReceiver responses;
    private final BufferedBody body = new BufferedBody();
    private final BodyBufferClaim claim;
    /** The head of the response that is being received; null between responses. */
    private HttpResponse response;
    /** Whether the body of the current response is streamed as it arrives. */
    private boolean streamed;
    /** Whether a long body has been buffered completely and is being passed on. */
    private boolean forwarding;
    /** The load report of the response whose body is being passed on. */
    private float[] forwardedLoadReport;
    /** Whether input is ignored, because the connection is about to end. */
    private boolean ignoringInput;

    private boolean inactive;

    private OriginCodec(UpstreamConnection connection) {
        this.connection = connection;
        responses = connection.responses();
        claim = new BodyBufferClaim(
                connection.loopContext().unknownLengthBudget(), responses::setReadable, () -> forwarding);
        connection.setCodec(this);
    }

    /** Creates the handlers of a connection to the origin. */
    static ChannelHandler[] handlers(UpstreamConnection connection) {
        return new ChannelHandler[] {
            new HttpClientCodec(MetaCodec.MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES), new OriginCodec(connection)
        };
    }

    @Override
    public ChannelFuture write(Channel channel, Attempt attempt, SocketAddress server) {
        return channel.write(OriginRequestEncoder.encode(
                attempt, server, connection.loopContext().nowMs()));
    }

    // ---- input

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        connection.setReading(false);
        ctx.fireChannelReadComplete();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        connection.loopContext().handling();
        connection.setReading(true);
        if (ignoringInput) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("not HTTP");
            return;
        }
        if (message instanceof HttpResponse head) {
            onHead(ctx, head);
        }
        if (response != null && message instanceof HttpContent content) {
            onContent(ctx, content.content());
            if (!ignoringInput && content instanceof LastHttpContent) {
                onResponseEnd();
            }
        }
    }

    private void onHead(ChannelHandlerContext ctx, HttpResponse head) {
        if (head.status().code() < HttpResponseStatus.OK.code()) { // an interim response
            response = null;
            return;
        }
        Attempt attempt = responses.currentAttempt();
        if (attempt == null) {
            fail("no request is waiting for a response");
            return;
        }
        if (hasEmptyHeader(head)) {
            // Netty parses a line without a colon as a header without a value. As with a head that Netty rejects, the
            // bytes that follow may not belong to this response.
            fail("header without a value");
            return;
        }
        response = head;
        long length = HttpUtil.getContentLength(head, -1L);
        if (length > MetaCodec.MAX_VALUE_BYTES) {
            fail("too long");
            return;
        }
        streamed = isValueOf(attempt) && length > MetaCodec.MAX_BUFFERED_VALUE_BYTES;
        if (!streamed) {
            beginBody(ctx, attempt, length);
        } else if (!responses.onLongValueBegin((int) length)) {
            streamed = false; // no client waits for the value; without a buffer it is discarded
        }
    }

    private void beginBody(ChannelHandlerContext ctx, Attempt attempt, long length) {
        int maxBytes = length < 0 ? MetaCodec.MAX_BUFFERED_VALUE_BYTES : (int) length;
        if (!isValueOf(attempt) || responses.onShortValueBegin(maxBytes)) {
            body.begin(ctx.alloc(), length);
            responses.onPartialResponse();
        }
    }

    private static boolean hasEmptyHeader(HttpResponse head) {
        return head.headers().entries().stream()
                .anyMatch(header -> header.getValue().isEmpty());
    }

    /** Whether the current response carries the value that this attempt reads. */
    private boolean isValueOf(Attempt attempt) {
        return isOk(response) && !attempt.isProbe() && !attempt.request().isWrite();
    }

    private static boolean isOk(HttpResponse head) {
        return head.status().code() == HttpResponseStatus.OK.code();
    }

    private void onContent(ChannelHandlerContext ctx, ByteBuf part) {
        if (!part.isReadable()) {
            return;
        }
        if (streamed) {
            responses.onLongValuePart(part.retain());
        } else if (body.hasBegun()) {
            buffer(ctx, part);
        }
    }

    private void buffer(ChannelHandlerContext ctx, ByteBuf part) {
        responses.onPartialResponse();
        body.append(part);
        if (!part.isReadable()) {
            return;
        }
        if (!isValueOf(responses.currentAttempt())
                || body.length() + part.readableBytes() > MetaCodec.MAX_VALUE_BYTES) {
            fail("too long");
            return;
        }
        body.appendLong(ctx.alloc(), part);
        claim.request();
    }

    // ---- ends of responses

    private void onResponseEnd() {
        HttpResponse head = response;
        response = null;
        if (!HttpUtil.isKeepAlive(head)) {
            connection.retire();
        }
        Attempt attempt = responses.currentAttempt();
        float[] loadReport = attempt.protocol().loadReportIn(head.headers().get(LOAD_HEADER));
        if (body.isLong()) {
            beginForwarding(loadReport);
        } else if (isOk(head) && !attempt.isProbe()) {
            onSuccess(attempt, loadReport);
        } else {
            body.release();
            responses.onResponse(outcome(attempt, head), CACHE_STATUS_UNKNOWN, loadReport);
        }
    }

    /** The outcome of a response without a value or receipt. */
    private static AttemptOutcome outcome(Attempt attempt, HttpResponse head) {
        if (attempt.isProbe()) {
            return isOk(head) ? AttemptOutcome.OK : AttemptOutcome.ERROR;
        }
        int code = head.status().code();
        boolean overloaded = code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || code == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        boolean declined = overloaded && DECLINED.equals(head.headers().get(DECLINED_HEADER));
        return declined ? AttemptOutcome.FULL : AttemptOutcome.ERROR;
    }

    private void onSuccess(Attempt attempt, float[] loadReport) {
        ByteBuf complete = body.take();
        if (complete == null) { // it was streamed or discarded
            responses.onResponse(AttemptOutcome.OK, CACHE_STATUS_UNKNOWN, loadReport);
        } else if (attempt.request().isWrite()) {
            String text = complete.toString(StandardCharsets.ISO_8859_1);
            complete.release();
            onStored(attempt, text, loadReport);
        } else {
            responses.onResponse(AttemptOutcome.OK, CACHE_STATUS_UNKNOWN, loadReport, complete, null);
        }
    }

    /** Ends a write with the receipt in the body, or fails if the body can't be one. */
    private void onStored(Attempt attempt, String text, float[] loadReport) {
        boolean withoutReceipt = text.isEmpty() && attempt.protocol().stockServers();
        if (withoutReceipt || MetaCodec.isReceipt(text)) {
            String receipt = withoutReceipt ? null : text;
            responses.onResponse(AttemptOutcome.OK, CACHE_STATUS_UNKNOWN, loadReport, null, receipt);
        } else {
            fail("no receipt");
        }
    }

    /** Passes on a long body that has been buffered, as a long value whose length is now known. */
    private void beginForwarding(float[] loadReport) {
        forwardedLoadReport = loadReport;
        forwarding = true;
        if (responses.onLongValueBegin(body.length())) {
            body.beginTaking();
            resume();
        } else {
            releaseBody();
            responses.onResponse(AttemptOutcome.OK, CACHE_STATUS_UNKNOWN, loadReport);
        }
    }

    @Override
    public boolean holdsWholeValue() {
        return forwarding;
    }

    @Override
    public void resume() {
        while (forwarding && !responses.isPaused()) {
            ByteBuf chunk = body.takeChunk();
            if (chunk != null) {
                responses.onLongValuePart(chunk);
            } else {
                endForwarding();
            }
        }
    }

    private void endForwarding() {
        releaseBody();
        responses.onResponse(AttemptOutcome.OK, CACHE_STATUS_UNKNOWN, forwardedLoadReport);
        if (inactive) {
            connection.onClosed();
        }
    }

    private void releaseBody() {
        forwarding = false;
        claim.release();
        body.release();
    }

    // ---- the end of the connection

    private void fail(String reason) {
        ignoringInput = true;
        releaseBody();
        connection.onProtocolError(reason);
    }

    @Override
    public void discard() {
        ignoringInput = true; // a body that ends with its connection is incomplete if the proxy closes the connection
        boolean wasForwarding = forwarding;
        releaseBody();
        if (wasForwarding && inactive) {
            connection.onClosed();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        connection.onWritabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ignoringInput = true;
        inactive = true;
        if (!forwarding) { // otherwise the client gets the rest first
            releaseBody();
            connection.onClosed();
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ignoringInput = true; // a body that ends with its connection is incomplete after a failure
        ctx.close();
    }
}
