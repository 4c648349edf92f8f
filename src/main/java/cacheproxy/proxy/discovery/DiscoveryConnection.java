package cacheproxy.proxy.discovery;

import cacheproxy.config.Addresses;
import cacheproxy.proxy.net.HandlerInitializer;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.upstream.EventLoopContext;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * An HTTP/1.1 connection to discovery with at most one request in flight. It is opened by the first request, kept
 * between requests, and closed when a request fails. Used on its event loop only.
 */
final class DiscoveryConnection {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    private final EventLoopContext context;
    /** Null while there is no connection. */
    private Channel channel;
    /** Receives the result of the request in flight; null if there is none. */
    private Consumer<DiscoveryResponse> listener;

    private Timer timeout;

    DiscoveryConnection(EventLoopContext context) {
        this.context = context;
    }

    /**
     * Sends a GET request in place of the one in flight, if any, whose listener is never called.
     *
     * @param timeoutMs the time from now until the complete response, including the time to connect
     * @param onEnd called once, on the event loop and not from within this call, unless the request is cancelled
     */
    void get(InetSocketAddress address, String path, double timeoutMs, Consumer<DiscoveryResponse> onEnd) {
        cancel();
        listener = onEnd;
        timeout = context.after(timeoutMs, () -> fail("no answer", true));
        if (channel != null && channel.isActive()) {
            write(channel, address, path);
        } else {
            connect(address, path);
        }
    }

    private void connect(InetSocketAddress address, String path) {
        Consumer<DiscoveryResponse> connecting = listener;
        channel = new Bootstrap()
                .group(context.loop())
                .channel(Transport.BEST.socket())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new HandlerInitializer(
                        new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), new ResponseHandler()))
                .connect(address)
                .addListener(future -> {
                    if (future.isSuccess()) {
                        write(((ChannelFuture) future).channel(), address, path);
                    } else if (listener == connecting) { // no other request has replaced this one
                        fail("no connection", false);
                    }
                })
                .channel();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    private static void write(Channel channel, InetSocketAddress address, String path) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        channel.writeAndFlush(request);
    }

    /** Cancels the request in flight, if any, and closes its connection, on which its response might still arrive. */
    void cancel() {
        if (listener != null) {
            close();
        }
    }

    /** Closes the connection, if any, without calling the listener of a request in flight. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void close() {
        listener = null;
        if (timeout != null) {
            timeout.cancel();
        }
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    private void succeed(JsonObject body) {
        Consumer<DiscoveryResponse> ended = listener;
        if (ended != null) {
            listener = null;
            timeout.cancel();
            ended.accept(new DiscoveryResponse.Received(body));
        }
    }

    private void fail(String cause, boolean timedOut) {
        Consumer<DiscoveryResponse> ended = listener;
        close();
        if (ended != null) {
            ended.accept(new DiscoveryResponse.Failed(cause, timedOut));
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (!HttpUtil.isKeepAlive(response)) {
                ctx.close();
                channel = null;
            }
            if (ctx.channel() == channel || channel == null) {
                end(response);
            }
        }

        private void end(FullHttpResponse response) {
            int status = response.status().code();
            JsonObject body = null;
            if (status == HttpResponseStatus.OK.code()
                    && response.decoderResult().isSuccess()) {
                body = parse(response);
            }
            if (body != null) {
                succeed(body);
            } else {
                fail(status == HttpResponseStatus.OK.code() ? "no JSON" : "status " + status, false);
            }
        }

        /** Returns null if the body is not a JSON object. */
        private static JsonObject parse(FullHttpResponse response) {
            try {
                return JsonParser.parseString(response.content().toString(StandardCharsets.UTF_8))
                        .getAsJsonObject();
            } catch (RuntimeException e) {
                return null;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                fail("cut off", false);
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
