package cacheproxy.fakes;

import cacheproxy.proxy.net.Transport;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery on loopback: the whole list, and watches on its changes. */
public final class FakeDiscovery implements AutoCloseable {
    private final EventLoop loop;
    private final Channel server;
    private final ChannelGroup connections;
    /** Entries with the version of their last change. */
    private final Map<String, Entry> hosts = new LinkedHashMap<>();

    private final List<Watch> watches = new ArrayList<>();
    private final AtomicInteger calls = new AtomicInteger();
    private long seq = 1;

    private record Entry(long seq, JsonObject json) {}

    private record Watch(ChannelHandlerContext ctx, long since) {}

    private FakeDiscovery(EventLoop loop) throws InterruptedException {
        this.loop = loop;
        connections = new DefaultChannelGroup(loop);
        server = new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.server())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new Conversation());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    public static FakeDiscovery start(EventLoop loop) throws InterruptedException {
        return new FakeDiscovery(loop);
    }

    public String dial() {
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    /**
     * Adds or changes an entry; watches are told at once.
     *
     * @param health up, draining or removed
     * @param bornMs Unix time in milliseconds; 0: long ago
     */
    public void put(String host, String dial, String kind, String health, double bornMs) {
        put(host, dial, "here", kind, health, bornMs);
    }

    /** The same for a server of a zone. */
    public void put(String host, String dial, String zone, String kind, String health, double bornMs) {
        JsonObject h = new JsonObject();
        h.addProperty("host", host);
        h.addProperty("dial", dial);
        h.addProperty("site", zone);
        h.addProperty("class", kind);
        h.addProperty("block", 0);
        h.addProperty("health", health);
        h.addProperty("share", 1.0);
        h.addProperty("born_ms", bornMs);
        loop.submit(() -> {
                    hosts.put(host, new Entry(++seq, h));
                    List<Watch> told = List.copyOf(watches);
                    watches.clear();
                    told.forEach(w -> changes(w.ctx, w.since));
                })
                .syncUninterruptibly();
    }

    private void changes(ChannelHandlerContext ctx, long since) {
        JsonArray list = new JsonArray();
        hosts.values().stream().filter(e -> e.seq > since).forEach(e -> list.add(e.json));
        answer(ctx, list, false);
    }

    /** The whole list as it is now, in the form of an answer. */
    public JsonObject whole() {
        return loop.submit(() -> json(present(), true)).syncUninterruptibly().getNow();
    }

    private JsonArray present() {
        JsonArray list = new JsonArray();
        hosts.values().stream()
                .filter(e -> !e.json.get("health").getAsString().equals("removed"))
                .forEach(e -> list.add(e.json));
        return list;
    }

    private JsonObject json(JsonArray list, boolean whole) {
        JsonObject json = new JsonObject();
        json.addProperty("seq", seq);
        json.addProperty("whole", whole);
        json.add("hosts", list);
        return json;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    private void answer(ChannelHandlerContext ctx, JsonArray list, boolean whole) {
        byte[] text = json(list, whole).toString().getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        ctx.writeAndFlush(response);
    }

    /** Calls that have come, watches among them. */
    public int calls() {
        return calls.get();
    }

    /** Calls that wait for a change. */
    public int waiting() {
        return loop.submit(watches::size).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }

    private final class Conversation extends SimpleChannelInboundHandler<FullHttpRequest> {
        @SuppressWarnings(
                "FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            calls.incrementAndGet();
            Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
            long since = query.containsKey("since")
                    ? Long.parseLong(query.get("since").get(0))
                    : 0;
            if (since == 0) {
                answer(ctx, present(), true);
            } else if (since < seq) {
                changes(ctx, since);
            } else {
                Watch w = new Watch(ctx, since);
                watches.add(w);
                long wait = query.containsKey("timeout_ms")
                        ? Long.parseLong(query.get("timeout_ms").get(0))
                        : 0;
                loop.schedule(
                        () -> {
                            if (watches.remove(w)) {
                                changes(ctx, since);
                            }
                        },
                        Math.min(60_000, wait),
                        TimeUnit.MILLISECONDS);
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
