package cacheproxy.control;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** One connection of a {@link ControlServer}: reads one request, writes its response and closes. */
final class ControlConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** How long the client may take to close the connection after its response. */
    private static final int LINGER_MS = 500;

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final Channel channel;
    private final ControlRequestHandler handler;
    private final double openedAtMs = System.nanoTime() / NANOS_PER_MS;
    private boolean answered;

    ControlConnection(EventLoop loop, Channel channel, ControlRequestHandler handler) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
    }

    /** Returns whether the response has been written. */
    boolean isAnswered() {
        return answered;
    }

    /** Returns when the connection was accepted, in milliseconds of {@link System#nanoTime}. */
    double openedAtMs() {
        return openedAtMs;
    }

    /** Closes the connection at once. */
    @SuppressWarnings("FutureReturnValueIgnored") // the server listens to the channel's close future
    void close() {
        channel.close();
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // the timeout is never cancelled: it checks whether it still applies
    public void channelActive(ChannelHandlerContext ctx) {
        loop.schedule(() -> requestTimedOut(ctx), ControlServer.REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void requestTimedOut(ChannelHandlerContext ctx) {
        if (!answered && ctx.channel().isActive()) {
            respond(ctx, new ControlResponse(408, "no whole call came"));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (answered) {
            return; // only the first request of a connection counts
        }
        if (request.decoderResult().isFailure()) {
            respond(ctx, new ControlResponse(400, "not HTTP/1.1"));
            return;
        }
        respond(ctx, handler.handle(request.method().name(), request.uri()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (answered || cause instanceof IOException) {
            close();
        } else if (cause instanceof TooLongHttpContentException) {
            respond(ctx, new ControlResponse(413, "the body is too long"));
        } else {
            respond(ctx, new ControlResponse(400, "not HTTP/1.1"));
        }
    }

    /**
     * Writes the response, then shuts down only the output: closing with unread input would send a reset, which may
     * overtake the response. The connection is closed when the client closes it, or after the linger time.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel; the rest needs no follow-up
    private void respond(ChannelHandlerContext ctx, ControlResponse response) {
        answered = true;
        ctx.writeAndFlush(encode(ctx, response))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                .addListener(future -> {
                    if (future.isSuccess() && channel instanceof DuplexChannel duplex) {
                        duplex.shutdownOutput();
                    }
                });
        loop.schedule(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private static DefaultFullHttpResponse encode(ChannelHandlerContext ctx, ControlResponse response) {
        DefaultFullHttpResponse encoded = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                ByteBufUtil.writeAscii(ctx.alloc(), response.text() + "\n"));
        String contentType = response.text().startsWith("[") ? "application/json" : "text/plain";
        encoded.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                .set(HttpHeaderNames.CONTENT_LENGTH, encoded.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, "close");
        response.allowedMethod().ifPresent(method -> encoded.headers().set(HttpHeaderNames.ALLOW, method));
        return encoded;
    }
}
