package cacheproxy.proxy.upstream;

import cacheproxy.config.Addresses;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.SocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** HTTP/1.1 towards the origin. */
final class OriginCodec extends SimpleChannelInboundHandler<HttpObject> implements UpstreamConnection.Codec {
    private final UpstreamConnection connection;
    /** A head may bring notes of some kilobytes; one that does not end must not take memory for long. */
    private static final int MAX_HEAD = 64 << 10;
    /** What a long answer that is held whole gives its client at once. */
    private static final int PIECE = 16 << 10;

    private HttpResponse response;
    /** A short answer's body so far, or the first of one whose length was not told; null where it is not gathered. */
    private ByteBuf body;
    /** What of a body has come beyond the length of short ones, in chunks; few, as pieces may be of any size. */
    private ArrayDeque<ByteBuf> more;

    private int moreBytes;
    /** Where a long body of unknown length stands: whether it has asked for room, and whether it has it. */
    private boolean asked;

    private boolean granted;
    /** Reading is off until there is room. */
    private boolean paused;

    private long missing;
    private boolean streamed;
    private boolean broken;
    /** The body is whole and goes to the client from here. */
    private boolean feeding;

    private float[] feedReport;
    private boolean inactive;

    private OriginCodec(UpstreamConnection connection) {
        this.connection = connection;
        connection.use(this);
    }

    static ChannelHandler[] handlers(UpstreamConnection connection) {
        return new ChannelHandler[] {
            new HttpClientCodec(MetaCodec.MAX_LINE_BYTES, MAX_HEAD, 64 << 10), new OriginCodec(connection)
        };
    }

    @Override
    public ChannelFuture write(Channel channel, Attempt attempt, SocketAddress dial) {
        FullHttpRequest request;
        if (attempt.isProbe()) {
            String path = attempt.protocol().probesLoad() ? "/metrics/load" : "/alive";
            request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        } else {
            ClientRequest command = attempt.request();
            String path = "/" + URLEncoder.encode(command.key, StandardCharsets.ISO_8859_1);
            ByteBuf value = !command.isWrite
                    ? Unpooled.EMPTY_BUFFER
                    : command.value.retainedSlice(0, command.value.readableBytes() - 2);
            request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, command.isWrite ? HttpMethod.PUT : HttpMethod.GET, path, value);
            request.headers()
                    .set("Req-Id", command.id)
                    .set(
                            "Req-Extra",
                            command.attributesWithDeadline(
                                    attempt.deadlineToTellMs(connection.core().now())));
            if (command.isWrite) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, value.readableBytes());
            }
        }
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(dial));
        return channel.write(request);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        connection.reading(false);
        ctx.fireChannelReadComplete();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        connection.core().handling();
        connection.reading(true);
        if (broken) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("not HTTP");
            return;
        }
        if (message instanceof HttpResponse r) {
            begin(ctx, r);
        }
        if (response != null && message instanceof HttpContent content) {
            content(ctx, content);
            if (!broken && content instanceof LastHttpContent) {
                end();
            }
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpResponse r) {
        Attempt attempt = connection.head();
        if (r.status().code() < 200) {
            response = null;
            return;
        }
        if (attempt == null) {
            fail("answer to nothing");
            return;
        }
        if (r.headers().entries().stream().anyMatch(h -> h.getValue().isEmpty())) {
            // Netty takes a line without a colon for a header without a value. A head that can't be read is no
            // better than one that Netty refuses: what follows may not be this request's.
            fail("header without a value");
            return;
        }
        response = r;
        missing = HttpUtil.getContentLength(r, -1L);
        if (missing > MetaCodec.MAX_VALUE_BYTES) {
            fail("too long");
            return;
        }
        boolean value = r.status().code() == 200 && !attempt.isProbe() && !attempt.request().isWrite;
        streamed = value && missing > MetaCodec.MAX_BUFFERED_VALUE_BYTES;
        if (!streamed) {
            body = ctx.alloc()
                    .buffer(
                            missing < 0 ? 1024 : (int) Math.min(missing, MetaCodec.MAX_BUFFERED_VALUE_BYTES),
                            MetaCodec.MAX_BUFFERED_VALUE_BYTES);
            connection.partial();
        } else if (!connection.begin((int) missing)) {
            streamed = false; // nobody waits: what comes is read and dropped
        }
    }

    private void content(ChannelHandlerContext ctx, HttpContent content) {
        ByteBuf part = content.content();
        if (streamed) {
            if (part.isReadable()) {
                connection.part(part.retain());
            }
            return;
        }
        if (body == null || !part.isReadable()) {
            return;
        }
        connection.partial();
        int n = Math.min(part.readableBytes(), body.maxWritableBytes());
        body.writeBytes(part, n);
        if (!part.isReadable()) {
            return;
        }
        if (response.status().code() != 200
                || connection.head().isProbe()
                || connection.head().request().isWrite) {
            fail("too long");
            return;
        }
        if (moreBytes + body.readableBytes() + part.readableBytes() > MetaCodec.MAX_VALUE_BYTES) {
            fail("too long");
            return;
        }
        gather(ctx, part);
    }

    /** A body of unknown length that is long: its client must be told the length first, so all of it is kept. */
    private void gather(ChannelHandlerContext ctx, ByteBuf part) {
        if (more == null) {
            more = new ArrayDeque<>();
        }
        moreBytes += part.readableBytes();
        while (part.isReadable()) {
            ByteBuf last = more.peekLast();
            if (last == null || !last.isWritable()) {
                last = ctx.alloc().buffer(PIECE, PIECE);
                more.add(last);
            }
            last.writeBytes(part, Math.min(part.readableBytes(), last.writableBytes()));
        }
        if (!asked) {
            asked = true;
            // What comes waits with the system until there is room; the request's own deadline goes on.
            paused = true;
            connection.read(false);
            connection.core().bufferedBodies().acquire(() -> {
                if (!asked) {
                    connection.core().bufferedBodies().release(); // it has ended meanwhile
                } else {
                    granted = true;
                    if (!feeding) { // else all of it came with the read that asked, and the next answer is not due yet
                        goOn();
                    }
                }
            });
        }
    }

    private void end() {
        HttpResponse r = response;
        response = null;
        if (!HttpUtil.isKeepAlive(r)) {
            connection.retire();
        }
        Attempt attempt = connection.head();
        float[] report = attempt.protocol().reportOf(r.headers().get("Srv-Load"));
        if (more != null) {
            feed(report);
            return;
        }
        ByteBuf whole = body;
        body = null;
        int code = r.status().code();
        if (attempt.isProbe()) {
            release(whole);
            connection.ended(code == 200 ? AttemptOutcome.OK : AttemptOutcome.ERROR, 0, report, null, null);
        } else if (code == 200) {
            answered(attempt.request(), report, whole);
        } else {
            release(whole);
            boolean declined =
                    (code == 503 || code == 504) && "1".equals(r.headers().get("Srv-Declined"));
            connection.ended(declined ? AttemptOutcome.FULL : AttemptOutcome.ERROR, 0, report, null, null);
        }
    }

    /** Passes on what has been gathered as a long answer that comes as fast as its client takes it. */
    private void feed(float[] report) {
        feedReport = report;
        feeding = true;
        if (connection.begin(body.readableBytes() + moreBytes)) {
            more.addFirst(body);
            body = null;
            resume();
        } else {
            forget();
            connection.ended(AttemptOutcome.OK, 0, report, null, null);
        }
    }

    @Override
    public void resume() {
        while (feeding && !connection.held()) {
            ByteBuf piece = more.poll();
            if (piece != null) {
                connection.part(piece);
                continue;
            }
            forget();
            connection.ended(AttemptOutcome.OK, 0, feedReport, null, null);
            if (inactive) {
                connection.closed();
            }
        }
    }

    @Override
    public void drop() {
        broken = true; // our own end of the connection does not end a body either
        boolean fed = feeding;
        forget();
        if (fed && inactive) {
            connection.closed();
        }
    }

    private void goOn() {
        if (paused) {
            paused = false;
            connection.read(true);
        }
    }

    /** Lets go of all that has been gathered. */
    private void forget() {
        feeding = false;
        asked = false;
        goOn(); // an answer that was whole before there was room must not leave its connection unread
        if (granted) {
            granted = false;
            connection.core().bufferedBodies().release();
        }
        release(body);
        body = null;
        if (more != null) {
            more.forEach(ByteBuf::release);
            more = null;
            moreBytes = 0;
        }
    }

    private void answered(ClientRequest command, float[] report, ByteBuf whole) {
        if (whole == null) { // passed on as it came, or dropped
            connection.ended(AttemptOutcome.OK, 0, report, null, null);
        } else if (command.isWrite) {
            String receipt = whole.toString(StandardCharsets.ISO_8859_1).trim();
            whole.release();
            connection.ended(AttemptOutcome.OK, 0, report, null, receipt);
        } else {
            connection.ended(AttemptOutcome.OK, 0, report, whole, null);
        }
    }

    private static void release(ByteBuf buf) {
        if (buf != null) {
            buf.release();
        }
    }

    private void fail(String what) {
        broken = true;
        forget();
        connection.garbage(what);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        connection.writabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        broken = true;
        inactive = true;
        if (!feeding) { // else the last of it goes to the client first
            forget();
            connection.closed();
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true; // a body that the connection's end ends must not pass for whole
        ctx.close();
    }
}
