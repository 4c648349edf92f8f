package cacheproxy.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;

/**
 * The operators' address: HTTP/1.1 (RFC 9112), one call a connection. A caller that says nothing, or half a call, is
 * told so after {@link #PATIENCE_MS} and let go. Where {@link #MAX_CALLERS} stand at once, further ones wait in the
 * system's queue, and the oldest makes room as soon as it has been answered or has had {@link #BEGIN_MS} to say its
 * call: so none of them can keep a call from being heard, and no crowd ends the call of one that has just come.
 */
public final class ControlServer {
    /** Callers at once. */
    public static final int MAX_CALLERS = 8;
    /** From the connection to the end of its call, in milliseconds. */
    public static final int PATIENCE_MS = 2000;
    /** What a caller has to say its call where others wait, in milliseconds: they wait for as long, eight at a time. */
    public static final int BEGIN_MS = 25;

    private static final int BACKLOG = 512;
    /** How long an answered caller may take to close, in milliseconds. */
    private static final int LINGER_MS = 500;

    private static final int MAX_LINE = 1024;
    private static final int MAX_HEAD = 4096;
    private static final int MAX_BODY = 4096;

    private final EventLoop loop;
    private final Class<? extends ServerChannel> kind;
    private final ControlRequestHandler calls;
    private final ArrayDeque<Call> callers = new ArrayDeque<>();
    private Channel channel;
    /** Whether a look at who makes room is still to come. */
    private boolean looking;

    /** @param calls asked on the loop */
    public ControlServer(EventLoop loop, Class<? extends ServerChannel> kind, ControlRequestHandler calls) {
        this.loop = loop;
        this.kind = kind;
        this.calls = calls;
    }

    /** Listens; fails where the address can't be had. */
    public ChannelFuture bind(SocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(kind)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel caller) {
                        Call call = new Call(caller);
                        caller.pipeline()
                                .addLast(
                                        new HttpServerCodec(MAX_LINE, MAX_HEAD, MAX_BODY),
                                        new HttpObjectAggregator(MAX_BODY),
                                        call);
                        taken(call);
                    }
                })
                .bind(address);
        channel = bound.channel();
        return bound;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Takes no further calls; those that are being heard are answered. */
    public void close() {
        channel.close();
    }

    /** Ends all at once. */
    public void closeNow() {
        channel.close();
        new ArrayList<>(callers).forEach(c -> c.caller.close());
    }

    private void taken(Call call) {
        callers.add(call);
        call.caller.closeFuture().addListener(f -> {
            callers.remove(call);
            makeRoom();
        });
        makeRoom();
    }

    /**
     * Takes further callers where there is room for one; else ends whoever is to make it, now or once its time is over.
     */
    private void makeRoom() {
        boolean full = callers.size() >= MAX_CALLERS;
        if (channel.isOpen() && channel.config().isAutoRead() == full) {
            channel.config().setAutoRead(!full);
        }
        if (!full || looking) {
            return;
        }
        Call oldest = callers.stream().filter(c -> c.answered).findFirst().orElse(callers.peek());
        double left = oldest.answered ? 0 : oldest.sinceMs + BEGIN_MS - System.nanoTime() / 1e6;
        looking = true;
        // Also where none is left: what the oldest has sent is read before this runs.
        loop.schedule(
                () -> {
                    looking = false;
                    if (callers.size() >= MAX_CALLERS && callers.contains(oldest)) {
                        oldest.caller.close();
                    } else {
                        makeRoom();
                    }
                },
                (long) (Math.max(1, left) * 1e6),
                TimeUnit.NANOSECONDS);
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
        final Channel caller;
        private final double sinceMs = System.nanoTime() / 1e6;
        boolean answered;

        Call(Channel caller) {
            this.caller = caller;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            loop.schedule(
                    () -> {
                        if (!answered && ctx.channel().isActive()) {
                            say(
                                    ctx,
                                    new ControlEndpoints.Answer(
                                            HttpResponseStatus.REQUEST_TIMEOUT.code(), "no whole call came"));
                        }
                    },
                    PATIENCE_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (answered) {
                return; // one call a connection
            }
            if (request.decoderResult().isFailure()) {
                say(ctx, new ControlEndpoints.Answer(400, "not HTTP/1.1"));
                return;
            }
            say(ctx, calls.call(request.method().name(), request.uri()));
        }

        private void say(ChannelHandlerContext ctx, ControlEndpoints.Answer answer) {
            answered = true;
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.code()),
                    ByteBufUtil.writeAscii(ctx.alloc(), answer.text() + "\n"));
            response.headers()
                    .set(
                            HttpHeaderNames.CONTENT_TYPE,
                            answer.text().startsWith("[") ? "application/json" : "text/plain")
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, "close");
            if (answer.allow() != null) {
                response.headers().set(HttpHeaderNames.ALLOW, answer.allow());
            }
            // With input unread a close sends a reset, which may overtake the answer: the caller closes first.
            ctx.writeAndFlush(response)
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                    .addListener(f -> {
                        if (f.isSuccess() && ctx.channel() instanceof io.netty.channel.socket.DuplexChannel c) {
                            c.shutdownOutput();
                        }
                    });
            loop.schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (answered || cause instanceof java.io.IOException) {
                ctx.close();
            } else {
                say(
                        ctx,
                        cause instanceof TooLongHttpContentException
                                ? new ControlEndpoints.Answer(413, "the body is too long")
                                : new ControlEndpoints.Answer(400, "not HTTP/1.1"));
            }
        }
    }
}
