package cacheproxy.soak;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.string.StringDecoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A cache node or the origin that records each request with the deadline it carried, and injects random faults: late
 * answers, misses, refusals, immediate or delayed resets, requests dropped without an answer, connections closed by the
 * server, and periods in which it hangs.
 */
final class SoakServer implements AutoCloseable {
    private static final Pattern DEADLINE = Pattern.compile("(?:^|[P,])d=([0-9.]+)");
    private static final int IDLE_CLOSE_MS = 1500;

    /**
     * Probabilities, in thousandths, of the faults of a request; {@code maxLateMs} is the bound of a late answer's
     * delay.
     */
    record FaultRates(int miss, int refuse, int fail, int reset, int drop, int late, int maxLateMs) {
        static final FaultRates NONE = new FaultRates(0, 0, 0, 0, 0, 0, 1);
    }

    final String name;
    private final boolean isOrigin;
    private final EventLoop loop;
    private final SoakHistory history;
    private final FaultRates faultRates;
    private final Random random;
    private final ChannelGroup connections;
    private final Channel server;
    private boolean hanging;

    private SoakServer(
            String name, boolean origin, EventLoop loop, SoakHistory history, FaultRates faultRates, long seed)
            throws InterruptedException {
        this.name = name;
        isOrigin = origin;
        this.loop = loop;
        this.history = history;
        this.faultRates = faultRates;
        random = new Random(seed);
        connections = new DefaultChannelGroup(loop);
        server = new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.server())
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        if (origin) {
                            channel.pipeline()
                                    .addLast(
                                            new HttpServerCodec(),
                                            new HttpObjectAggregator(1 << 20),
                                            new OriginHandler());
                        } else {
                            channel.pipeline()
                                    .addLast(
                                            new LineBasedFrameDecoder(4096),
                                            new StringDecoder(StandardCharsets.ISO_8859_1),
                                            new NodeHandler());
                        }
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    static SoakServer node(String name, EventLoop loop, SoakHistory history, FaultRates faultRates, long seed)
            throws InterruptedException {
        return new SoakServer(name, false, loop, history, faultRates, seed);
    }

    static SoakServer origin(String name, EventLoop loop, SoakHistory history, FaultRates faultRates, long seed)
            throws InterruptedException {
        return new SoakServer(name, true, loop, history, faultRates, seed);
    }

    String dial() {
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Executes requests without answering them for {@code ms}. */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    void hang(long ms) {
        loop.execute(() -> {
            hanging = true;
            loop.schedule(() -> hanging = false, ms, TimeUnit.MILLISECONDS);
        });
    }

    /** Resets all connections immediately. */
    void resetAll() {
        loop.execute(() -> connections.forEach(SoakServer::reset));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    private static void reset(Channel channel) {
        ((SocketChannel) channel).config().setSoLinger(0);
        channel.close();
    }

    private static String deadline(String text) {
        Matcher matcher = DEADLINE.matcher(text);
        return matcher.find() ? matcher.group(1) : "NaN";
    }

    private boolean chance(int inThousand) {
        return random.nextInt(1000) < inThousand;
    }

    /**
     * Sends requests to itself, each on a new connection, and waits for the answers; only for a server without faults.
     */
    void warmUp(int requests) throws IOException {
        byte[] request = (isOrigin
                        ? "GET /warm HTTP/1.1\r\nHost: x\r\nReq-Id: warm\r\nReq-Extra: d=100\r\n\r\n"
                        : "mg warm v Owarm Pd=100\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        InetSocketAddress address = (InetSocketAddress) server.localAddress();
        for (int i = 0; i < requests; i++) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.getOutputStream().write(request);
                socket.getInputStream().read();
            }
        }
    }

    /** Records a request and returns whether it is to be answered; {@code takesEffect} tells whether it is executed. */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private boolean recordArrival(Channel channel, String id, String parameters, boolean takesEffect) {
        history.arrivals.add(new SoakHistory.Arrival(
                id, name, System.nanoTime(), Double.parseDouble(deadline(parameters)), takesEffect));
        if (chance(faultRates.reset())) {
            loop.schedule(() -> reset(channel), random.nextInt(200), TimeUnit.MILLISECONDS);
            return false;
        }
        return !hanging && !chance(faultRates.drop());
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void answerLater(Runnable answer) {
        int delayMs = chance(faultRates.late()) ? random.nextInt(faultRates.maxLateMs()) : random.nextInt(4);
        loop.schedule(answer, delayMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }

    private final class NodeHandler extends SimpleChannelInboundHandler<String> {
        @SuppressWarnings(
                "FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (chance(100)) {
                loop.schedule(() -> ctx.close(), IDLE_CLOSE_MS + random.nextInt(IDLE_CLOSE_MS), TimeUnit.MILLISECONDS);
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            String id = line.substring(line.indexOf(" O") + 2).split(" ", 0)[0];
            if (!recordArrival(ctx.channel(), id, line, false)) {
                return;
            }
            String answer = chance(faultRates.miss())
                    ? "EN O" + id + "\r\n"
                    : chance(faultRates.refuse())
                            ? "SERVER_ERROR busy\r\n"
                            : chance(faultRates.fail())
                                    ? "SERVER_ERROR failed\r\n"
                                    : "VA 5 O" + id + " h1\r\nhello\r\n";
            answerLater(() -> ctx.writeAndFlush(Unpooled.copiedBuffer(answer, StandardCharsets.ISO_8859_1)));
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class OriginHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String id = request.headers().get("Req-Id");
            boolean declined = chance(faultRates.refuse());
            if (!recordArrival(ctx.channel(), id, request.headers().get("Req-Extra"), !declined)) {
                return;
            }
            boolean write = request.method().equals(HttpMethod.PUT);
            ByteBuf body =
                    Unpooled.copiedBuffer(declined ? "" : write ? "w" + id : "hello", StandardCharsets.ISO_8859_1);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    declined ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                    body);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (declined) {
                response.headers().set("Srv-Declined", "1");
            }
            answerLater(() -> ctx.writeAndFlush(response));
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
