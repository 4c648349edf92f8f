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

/** A discovery service on loopback that serves the full host list and long polls for changes to it. */
public final class FakeDiscovery implements AutoCloseable {
    private final EventLoop loop;
    private final Channel server;
    private final ChannelGroup connections;
    /** Entries by host, each with the sequence number of its last change. */
    private final Map<String, Entry> hosts = new LinkedHashMap<>();

    private final List<Watch> watches = new ArrayList<>();
    private final AtomicInteger requestCount = new AtomicInteger();
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
                                .addLast(
                                        new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new RequestHandler());
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
     * Adds or changes an entry; pending watches are answered at once.
     *
     * @param health up, draining or removed
     * @param startMs start time of the server as Unix time in milliseconds; 0 if it has been up for long
     */
    public void put(String host, String dial, String kind, String health, double startMs) {
        put(host, dial, "here", kind, health, startMs);
    }

    /** Adds or changes the entry of a server in a zone; pending watches are answered at once. */
    public void put(String host, String dial, String zone, String kind, String health, double startMs) {
        JsonObject entry = new JsonObject();
        entry.addProperty("host", host);
        entry.addProperty("dial", dial);
        entry.addProperty("site", zone);
        entry.addProperty("class", kind);
        entry.addProperty("block", 0);
        entry.addProperty("health", health);
        entry.addProperty("share", 1.0);
        entry.addProperty("born_ms", startMs);
        loop.submit(() -> {
                    hosts.put(host, new Entry(++seq, entry));
                    List<Watch> notified = List.copyOf(watches);
                    watches.clear();
                    notified.forEach(watch -> answerWithChanges(watch.ctx, watch.since));
                })
                .syncUninterruptibly();
    }

    private void answerWithChanges(ChannelHandlerContext ctx, long since) {
        JsonArray list = new JsonArray();
        hosts.values().stream().filter(entry -> entry.seq > since).forEach(entry -> list.add(entry.json));
        answer(ctx, list, false);
    }

    /** Returns the current full list in the form of a response. */
    public JsonObject fullList() {
        return loop.submit(() -> responseJson(currentHosts(), true))
                .syncUninterruptibly()
                .getNow();
    }

    private JsonArray currentHosts() {
        JsonArray list = new JsonArray();
        hosts.values().stream()
                .filter(entry -> !entry.json.get("health").getAsString().equals("removed"))
                .forEach(entry -> list.add(entry.json));
        return list;
    }

    private JsonObject responseJson(JsonArray list, boolean whole) {
        JsonObject json = new JsonObject();
        json.addProperty("seq", seq);
        json.addProperty("whole", whole);
        json.add("hosts", list);
        return json;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    private void answer(ChannelHandlerContext ctx, JsonArray list, boolean whole) {
        byte[] text = responseJson(list, whole).toString().getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        ctx.writeAndFlush(response);
    }

    /** Returns the number of requests received, including watches. */
    public int requestCount() {
        return requestCount.get();
    }

    /** Returns the number of requests that are waiting for a change. */
    public int pendingWatches() {
        return loop.submit(watches::size).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @SuppressWarnings(
                "FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            requestCount.incrementAndGet();
            Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
            long since = query.containsKey("since")
                    ? Long.parseLong(query.get("since").get(0))
                    : 0;
            if (since == 0) {
                answer(ctx, currentHosts(), true);
            } else if (since < seq) {
                answerWithChanges(ctx, since);
            } else {
                Watch watch = new Watch(ctx, since);
                watches.add(watch);
                long timeoutMs = query.containsKey("timeout_ms")
                        ? Long.parseLong(query.get("timeout_ms").get(0))
                        : 0;
                loop.schedule(
                        () -> {
                            if (watches.remove(watch)) {
                                answerWithChanges(ctx, since);
                            }
                        },
                        Math.min(60_000, timeoutMs),
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
