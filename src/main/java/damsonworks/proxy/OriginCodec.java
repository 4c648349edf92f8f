package damsonworks.proxy;

import damsonworks.RoutingApi.Outcome;
import damsonworks.config.Addresses;
import damsonworks.proxy.Exchange.Attempt;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
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

/** HTTP/1.1 towards the origin. */
final class OriginCodec extends SimpleChannelInboundHandler<HttpObject> implements UpstreamConnection.Codec {
    private final UpstreamConnection connection;
    private HttpResponse response;
    /** A short answer's body so far, or one whose length was not told; null where it is dropped or streamed. */
    private CompositeByteBuf body;
    private long missing;
    private boolean streamed;
    private boolean broken;

    private OriginCodec(UpstreamConnection connection) {
        this.connection = connection;
        connection.use(this);
    }

    static ChannelHandler[] handlers(UpstreamConnection connection) {
        return new ChannelHandler[] {new HttpClientCodec(MetaCodec.MAX_LINE, 8192, 64 << 10),
            new OriginCodec(connection)};
    }

    @Override
    public ChannelFuture write(Channel channel, Attempt attempt, SocketAddress dial) {
        FullHttpRequest request;
        if (attempt.exchange == null) {
            String path = attempt.owner.probesLoad() ? "/metrics/load" : "/alive";
            request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        } else {
            Command command = attempt.exchange.command;
            String path = "/" + URLEncoder.encode(command.key, StandardCharsets.ISO_8859_1);
            ByteBuf value = !command.write ? Unpooled.EMPTY_BUFFER
                    : command.value.retainedSlice(0, command.value.readableBytes() - 2);
            request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    command.write ? HttpMethod.PUT : HttpMethod.GET, path, value);
            request.headers().set("Req-Id", command.id).set("Req-Extra", command.extras);
            if (command.write) {
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
            content(content);
            if (!broken && content instanceof LastHttpContent) {
                end(ctx);
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
        if (missing > MetaCodec.MAX_VALUE) {
            fail("too long");
            return;
        }
        streamed = r.status().code() == 200 && attempt.exchange != null && !attempt.exchange.command.write
                && missing > MetaCodec.WHOLE;
        body = null;
        if (!streamed) {
            body = ctx.alloc().compositeBuffer(64);
            connection.partial();
        } else if (connection.begin((int) missing)) {
            return;
        } else {
            streamed = false; // nobody waits: what comes is read and dropped
        }
    }

    private void content(HttpContent content) {
        ByteBuf part = content.content();
        if (streamed) {
            if (part.isReadable()) {
                connection.part(part.retain());
            }
        } else if (body != null) {
            if (body.readableBytes() + part.readableBytes() > MetaCodec.MAX_VALUE) {
                fail("too long");
                return;
            }
            body.addComponent(true, part.retain());
            connection.partial();
        }
    }

    private void end(ChannelHandlerContext ctx) {
        HttpResponse r = response;
        ByteBuf whole = body;
        response = null;
        body = null;
        if (!HttpUtil.isKeepAlive(r)) {
            connection.retire();
        }
        Attempt attempt = connection.head();
        float[] report = attempt.owner.report(r.headers().get("Srv-Load"));
        int code = r.status().code();
        if (attempt.exchange == null) {
            release(whole);
            connection.ended(code == 200 ? Outcome.OK : Outcome.ERROR, 0, report, null, null);
        } else if (code == 200) {
            answered(attempt.exchange.command, report, whole);
        } else {
            release(whole);
            boolean declined = (code == 503 || code == 504) && "1".equals(r.headers().get("Srv-Declined"));
            connection.ended(declined ? Outcome.FULL : Outcome.ERROR, 0, report, null, null);
        }
    }

    private void answered(Command command, float[] report, ByteBuf whole) {
        if (whole == null) { // passed on as it came, or dropped
            connection.ended(Outcome.OK, 0, report, null, null);
        } else if (command.write) {
            String receipt = whole.toString(StandardCharsets.ISO_8859_1).trim();
            whole.release();
            connection.ended(Outcome.OK, 0, report, null, receipt);
        } else {
            connection.ended(Outcome.OK, 0, report, whole, null);
        }
    }

    private static void release(ByteBuf buf) {
        if (buf != null) {
            buf.release();
        }
    }

    private void fail(String what) {
        broken = true;
        release(body);
        body = null;
        connection.garbage(what);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        broken = true;
        release(body);
        body = null;
        connection.closed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
