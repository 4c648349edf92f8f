package cacheproxy.fakes;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP/1.1 origin on loopback. The value of each key is derived from the key, so that wrong answers are detected.
 * Writes are counted in the ledger; repeats with the same idempotency key are dropped. After a read, the origin stores
 * the value at the node that missed it.
 */
public final class FakeOrigin implements AutoCloseable {
    private static final int MAX_MISSES = 100_000;

    private final EventLoop loop;
    private final EffectLedger ledger;
    private final ChannelGroup connections;
    private final Map<String, FakeCacheServer> nodesByMiss = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, FakeCacheServer> eldest) {
            return size() > MAX_MISSES;
        }
    };
    private final Set<String> idempotencyKeys = new HashSet<>();
    private final Map<String, byte[]> writtenValues = new HashMap<>();
    private final AtomicInteger fetches = new AtomicInteger();
    private final Channel server;
    private Iterable<FakeCacheServer> nodes = java.util.List.of();
    private double serviceTimeMs;
    private boolean muted;
    private boolean declining;

    private FakeOrigin(EventLoop loop, EffectLedger ledger) throws InterruptedException {
        this.loop = loop;
        this.ledger = ledger;
        connections = new DefaultChannelGroup(loop);
        server = new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.server())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(), new HttpObjectAggregator(8 << 20), new RequestHandler());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    public static FakeOrigin start(EventLoop loop, EffectLedger ledger) throws InterruptedException {
        return new FakeOrigin(loop, ledger);
    }

    /** Returns the value of a key that has not been written. */
    public static String value(String key) {
        return "value of " + key;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    public String dial() {
        return "127.0.0.1:" + address().getPort();
    }

    /** Returns the number of reads handled. */
    public int fetches() {
        return fetches.get();
    }

    /** Sets the nodes at which it stores missed values and invalidates written keys. */
    public void setNodes(Iterable<FakeCacheServer> fleet) {
        loop.submit(() -> {
                    nodes = fleet;
                    fleet.forEach(cacheServer -> cacheServer.setMissListener(
                            (id, key, node) -> loop.execute(() -> nodesByMiss.put(id + " " + key, node))));
                })
                .syncUninterruptibly();
    }

    /** Sets the service time of each request; requests are handled concurrently. */
    public FakeOrigin setServiceTimeMs(double ms) {
        loop.submit(() -> serviceTimeMs = ms).syncUninterruptibly();
        return this;
    }

    /** Sets whether the origin executes requests without answering them. */
    public void muted(boolean on) {
        loop.submit(() -> muted = on).syncUninterruptibly();
    }

    /** Sets whether the origin declines requests without executing them. */
    public void setDeclining(boolean on) {
        loop.submit(() -> declining = on).syncUninterruptibly();
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String key = URLDecoder.decode(request.uri().substring(1), StandardCharsets.ISO_8859_1);
            String id = request.headers().get("Req-Id");
            String idempotencyKey = Lines.listValue(request.headers().get("Req-Extra"), "k");
            boolean write = request.method().equals(HttpMethod.PUT);
            byte[] body = ByteBufUtil.getBytes(request.content());
            if (declining) {
                DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
                response.headers().set("Srv-Declined", "1").set(HttpHeaderNames.CONTENT_LENGTH, 0);
                ctx.writeAndFlush(response);
                return;
            }
            if (serviceTimeMs > 0) {
                loop.schedule(
                        () -> answer(ctx, key, id, idempotencyKey, write, body),
                        (long) (serviceTimeMs * 1e6),
                        TimeUnit.NANOSECONDS);
            } else {
                answer(ctx, key, id, idempotencyKey, write, body);
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void answer(
                ChannelHandlerContext ctx, String key, String id, String idempotencyKey, boolean write, byte[] body) {
            byte[] answer;
            if (write) {
                if (idempotencyKey != null && !idempotencyKeys.add(idempotencyKey)) {
                    ledger.recordDroppedRepeat();
                } else {
                    ledger.recordEffect(
                            idempotencyKey != null ? idempotencyKey : new String(body, StandardCharsets.ISO_8859_1));
                    writtenValues.put(key, body);
                    nodes.forEach(cacheServer -> cacheServer.invalidate(key));
                }
                answer = ("w" + id).getBytes(StandardCharsets.ISO_8859_1);
            } else {
                fetches.incrementAndGet();
                answer = writtenValues.getOrDefault(key, value(key).getBytes(StandardCharsets.ISO_8859_1));
                FakeCacheServer node = nodesByMiss.remove(id + " " + key);
                if (node != null) {
                    node.store(key, answer);
                }
            }
            if (muted) {
                return;
            }
            ByteBuf content = Unpooled.wrappedBuffer(answer);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, content);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.length);
            ctx.writeAndFlush(response);
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
