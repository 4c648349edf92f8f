package cacheproxy.proxy.discovery;

import cacheproxy.config.Addresses;
import cacheproxy.discovery.DiscoveryPoll;
import cacheproxy.discovery.DiscoveryPollScheduler;
import cacheproxy.discovery.SilentWatchDetector;
import cacheproxy.discovery.VersionGossip;
import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.placement.ServerId;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.net.HandlerInitializer;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.process.PlatformConfig;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.UpstreamRegistry;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/** Follows discovery's list of servers for one pool. */
public final class DiscoveryClient implements EndpointListSource, UpstreamRegistry.Observer {
    /** Why a call failed of which nothing came. */
    private static final String SILENT = "no answer";

    private static final int CONNECT_MS = 1000;
    /** Of a call that takes whatever there is, all told. */
    private static final int FETCH_MS = 4000;

    private static final int MAX_LIST = 4 << 20;
    /**
     * What discovery may take to tell of a process that has ended, as a part of the time after which a proxy has to
     * ask. The operators name 3.1 s as the most they saw, where that is 10 s, and news come in rounds of up to half a
     * second.
     */
    private static final double NOTICE = 0.35;

    private static final double QUICK = 0.1;
    /** Within which all proxies tell of a version, one after another; several times as long as a message takes. */
    private static final double NEWS = 0.03;
    /** No call is put off for longer, as a part of the same. */
    private static final double LONGEST_DELAY = 0.25;

    /** A server of the list. */
    public record Host(Endpoint member, SocketAddress dial) {}

    /**
     * What is followed.
     *
     * @param known the list as it was last had, in discovery's form; null for none
     * @param ask whether the module asks for the list; else it is followed from the start
     */
    public record Source(
            InetSocketAddress address, JsonObject known, boolean ask, List<String> zones, List<String> kinds) {
        public static Source of(PlatformConfig config) {
            return new Source(
                    config.discovery(),
                    config.initialHosts(),
                    config.settings().pollsDiscovery(),
                    config.zones(),
                    config.kinds());
        }
    }

    private final EventLoopContext core;
    private final EventLoop loop;
    private final SilentWatchDetector doubt;
    private final VersionGossip news = new VersionGossip();
    private final double newsMs;
    private Timer looking;
    private double lookAt = Double.POSITIVE_INFINITY;
    private final Source source;
    private final EndpointListConsumer pool;
    private final Line watchLine = new Line();
    private final Line listLine = new Line();
    private InetSocketAddress address;
    private final Pace pace;
    private long version;
    private final DiscoveryPollScheduler freshness;
    /** When {@link #go} comes back by itself. */
    private Timer calling;
    /** Whether the last answer was of an earlier version than the list held: the next call asks for all there is. */
    private boolean fell;

    private boolean closed;

    /** How closely the list is watched, where others may do so for this proxy. */
    public interface Pace {
        /**
         * Whether a call is to be out at all times; else there is one only when {@link DiscoveryClient#ask} says so.
         */
        boolean closely();

        /** A list of this version has come. */
        void have(long version);
    }

    public DiscoveryClient(EventLoopContext core, Source source, EndpointListConsumer pool) {
        this(core, source, pool, null);
    }

    /** @param pace null: it always watches closely */
    public DiscoveryClient(EventLoopContext core, Source source, EndpointListConsumer pool, Pace pace) {
        this.pace = pace;
        this.core = core;
        loop = core.loop();
        PolicySettings settings = pool.settings();
        double within = settings.maxPollAgeMs();
        double spread = Math.min(within * LONGEST_DELAY, settings.instanceCount() * settings.connectTimeoutMs());
        double place = (double) settings.instanceIndex() / Math.max(1, settings.instanceCount());
        doubt = new SilentWatchDetector(within * NOTICE, within * QUICK, spread * place);
        newsMs = within * NEWS * place;
        this.source = source;
        this.pool = pool;
        freshness =
                new DiscoveryPollScheduler(source.ask(), settings.instanceCount(), new SplittableRandom(pool.seed()));
        freshness.setLongPolling(core.now(), closely());
        address = source.address();
    }

    /**
     * Discovery stands elsewhere from now on. The old address soon falls silent and what the new one has counts as
     * told, so it is asked at once, and for all: its versions need not go on from those of the old.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        version = 0;
        news.reset();
        doubt.resetClaims();
        fell = false;
        listLine.close();
        watchLine.close();
        freshness.addressChanged(core.now());
        go();
    }

    /** Hands over the list as it was last had and, where lists are pushed, begins to follow it. */
    public void start() {
        List<Host> known = List.of();
        if (source.known() != null) {
            try {
                known = hosts(source.known());
                version = seq(source.known());
            } catch (RuntimeException e) {
                pool.log("the list in the configuration is of no use: " + e.getMessage());
            }
        }
        pool.listed(EndpointListKind.CACHED, known);
        doubt.listReceived(version, true, known.stream().map(Host::member).toList());
        core.observe(this);
        if (!source.ask()) {
            watch(true);
        }
    }

    @Override
    public void watch(boolean on) {
        freshness.setLongPolling(core.now(), closely());
        freshness.setFollowing(core.now(), on);
        go();
    }

    /** Does what is due: begins a call, ends one that is not wanted any more, comes back when the next is due. */
    private void go() {
        if (closed) {
            return;
        }
        if (calling != null) {
            calling.cancel();
            calling = null;
        }
        if (!freshness.inFlight()) {
            watchLine.giveUp();
        }
        double now = core.now();
        double dueAt = freshness.nextPollAtMs();
        if (dueAt <= now) {
            DiscoveryPoll call = freshness.beginPoll(now);
            if (core.events.isEnabled()) {
                core.events
                        .line(ProxyEvent.DISCOVERY_CALLED)
                        .with("at", address)
                        .with("since", fell ? 0 : version)
                        .with("wait_ms", call.waitMs())
                        .withMs("limit_ms", call.timeoutMs())
                        .write();
            }
            watchLine.call(
                    "/discovery/hosts?since=" + (fell ? 0 : version) + "&timeout_ms=" + call.waitMs(),
                    call.timeoutMs(),
                    this::watched);
        } else if (dueAt < Double.POSITIVE_INFINITY) {
            calling = core.after(dueAt - now, this::go);
        }
    }

    private boolean closely() {
        return pace == null || pace.closely();
    }

    /**
     * There is a later list: calls for it. A watch that is out should have told, so it has fallen silent and is begun
     * anew.
     */
    public void ask() {
        freshness.pollNow(core.now());
        go();
    }

    /** The pace has changed: a call is to be out from now on, or only the one that is. */
    public void pace(boolean closely) {
        freshness.setLongPolling(core.now(), closely);
        go();
    }

    @Override
    public void close() {
        closed = true;
        if (calling != null) {
            calling.cancel();
        }
        core.servers.forget(this);
        listLine.close();
        watchLine.close();
    }

    @Override
    public void fetch() {
        listLine.call("/discovery/hosts", FETCH_MS, (json, why) -> {
            try {
                apply(need(json, why));
            } catch (RuntimeException e) {
                pool.log("discovery: " + e.getMessage());
                pool.listed(EndpointListKind.FAILED, List.of());
            }
        });
    }

    private static JsonObject need(JsonObject json, String why) {
        if (json == null) {
            throw new IllegalArgumentException(why);
        }
        return json;
    }

    /**
     * The end of a call. A watch lasts only while each call follows the last answer within 200 ms. Without the next one
     * the list stays as it is for good, but where another proxy says when to call: drained and departed servers go on
     * being sent to, also at reused addresses.
     */
    @SuppressWarnings("ReferenceEquality") // identity is meant
    private void watched(JsonObject json, String why) {
        try {
            apply(need(json, why));
            freshness.succeeded(core.now());
            if (core.events.isEnabled()) {
                core.events
                        .line(ProxyEvent.DISCOVERY_ANSWERED)
                        .with("version", version)
                        .write();
            }
        } catch (RuntimeException e) {
            freshness.failed(core.now(), why == SILENT);
            int n = freshness.consecutiveFailures();
            if (core.events.isEnabled()) {
                core.events
                        .line(ProxyEvent.DISCOVERY_FAILED)
                        .with("cause", e.getMessage())
                        .with("failures", n)
                        .withMs("age_ms", freshness.stalenessMs(core.now()))
                        .withMs("next_ms", freshness.nextPollAtMs() - core.now())
                        .write();
            }
            if ((n & n - 1) == 0) { // the first, the second, the fourth: an outage must not take all the log's lines
                pool.log("discovery: " + e.getMessage() + (n > 1 ? ", " + n + " failures in a row" : ""));
            }
        }
        go();
    }

    private void apply(JsonObject json) {
        List<Host> hosts = hosts(json);
        boolean whole = json.get("whole").getAsBoolean();
        long seq = seq(json);
        if (seq < version && !(whole && fell)) {
            // An answer that was late, or a discovery that counts anew: then all that it has, asked for as such, says
            // so again.
            fell = whole;
            throw new IllegalArgumentException("version " + seq + " after " + version);
        }
        fell = false;
        if (seq > version) {
            news.versionChanged();
            core.after(newsMs, this::tellNews);
        }
        version = seq;
        if (pace != null) {
            pace.have(seq);
        }
        doubt.listReceived(seq, whole, hosts.stream().map(Host::member).toList());
        pool.listed(whole ? EndpointListKind.FULL : EndpointListKind.CHANGES, hosts);
    }

    @Override
    public void refused(int server) {
        doubt.connectionRefused(core.now(), server);
        look();
    }

    @Override
    public void connected(int server) {
        doubt.connected(server);
    }

    private void tellNews() {
        byte[] message = closed ? null : news.takeMessage(version);
        if (message != null) {
            pool.sendToPeer(-1, message);
        }
    }

    /** A message of another proxy that {@link VersionGossip#is} one of the list's version. */
    public void heard(int peer, byte[] message) {
        long seq = VersionGossip.decodeVersion(message);
        news.received(peer, seq);
        if (seq > version) {
            doubt.versionClaimed(core.now(), seq);
            look();
        }
    }

    /** Comes back when the doubt is due. One that has moved to later since finds out then. */
    private void look() {
        double dueAt = Math.max(doubt.nextPollAtMs(), freshness.protectedUntilMs());
        if (dueAt < lookAt && !closed) {
            if (looking != null) {
                looking.cancel();
            }
            lookAt = dueAt;
            looking = core.after(lookAt - core.now(), this::doubt);
        }
    }

    /** A watch that has fallen silent is begun anew; between two watches the module asks by itself. */
    private void doubt() {
        lookAt = Double.POSITIVE_INFINITY;
        if (!closed && core.now() >= freshness.protectedUntilMs() && doubt.takeDuePoll(core.now())) {
            if (freshness.inFlight()) {
                pool.log("discovery: the watch seems to have fallen silent, asking anew");
            }
            ask();
        }
        look();
    }

    private static long seq(JsonObject json) {
        return json.get("seq").getAsLong();
    }

    private List<Host> hosts(JsonObject json) {
        List<Host> hosts = new ArrayList<>();
        Set<Integer> ids = new HashSet<>();
        for (JsonElement e : json.getAsJsonArray("hosts")) {
            Host h = host(e.getAsJsonObject());
            if (!ids.add(h.member().id())) {
                throw new IllegalArgumentException("a host is listed twice");
            }
            hosts.add(h);
        }
        return hosts;
    }

    private Host host(JsonObject h) {
        String name = h.get("host").getAsString();
        EndpointState state = switch (h.get("health").getAsString()) {
            case "up" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "removed" -> EndpointState.GONE;
            default -> throw new IllegalArgumentException("host " + name + ": unknown health");
        };
        int zone = source.zones()
                .indexOf(PlatformConfig.toSettingName(h.get("site").getAsString()));
        int kind = source.kinds()
                .indexOf(PlatformConfig.toSettingName(h.get("class").getAsString()));
        float weight = h.has("share") ? h.get("share").getAsFloat() : 1;
        if (zone < 0 || kind < 0 || !(weight >= 0) || Float.isInfinite(weight)) {
            throw new IllegalArgumentException("host " + name + ": unknown site or class, or bad share");
        }
        double born = h.has("born_ms") ? h.get("born_ms").getAsDouble() : 0;
        int cell = h.has("block") ? h.get("block").getAsInt() : 0;
        return new Host(
                new Endpoint(ServerId.fromName(name), zone, kind, cell, state, weight, born),
                Addresses.parse(h.get("dial").getAsString()));
    }

    /** A connection for one call at a time, kept between calls. */
    private final class Line {
        private Channel channel;
        private BiConsumer<JsonObject, String> waiting;
        private Timer timer;

        /** Calls; the consumer gets the answer, or null and why there is none that can be used. */
        void call(String path, double limitMs, BiConsumer<JsonObject, String> then) {
            if (closed) {
                return;
            }
            giveUp();
            waiting = then;
            timer = core.after(limitMs, () -> done(null, SILENT));
            if (channel != null && channel.isActive()) {
                write(channel, path);
                return;
            }
            channel = new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new HandlerInitializer(
                            new HttpClientCodec(), new HttpObjectAggregator(MAX_LIST), new Answer()))
                    .connect(address)
                    .addListener(f -> {
                        if (f.isSuccess()) {
                            write(((ChannelFuture) f).channel(), path);
                        } else if (waiting == then) { // not a call that has taken the place of this one
                            done(null, "no connection");
                        }
                    })
                    .channel();
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void write(Channel to, String path) {
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
            to.writeAndFlush(request);
        }

        /** Ends the call that is out, if one is; its answer, if there is one yet to come, with its connection. */
        void giveUp() {
            if (waiting != null) {
                close();
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        void close() {
            waiting = null;
            if (timer != null) {
                timer.cancel();
            }
            if (channel != null) {
                channel.close();
                channel = null;
            }
        }

        private void done(JsonObject json, String why) {
            BiConsumer<JsonObject, String> then = waiting;
            if (json == null) {
                close();
            }
            if (then != null) {
                waiting = null;
                timer.cancel();
                then.accept(json, why);
            }
        }

        private final class Answer extends SimpleChannelInboundHandler<FullHttpResponse> {
            @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
                JsonObject json = null;
                if (response.status().code() == 200 && response.decoderResult().isSuccess()) {
                    try {
                        json = JsonParser.parseString(response.content().toString(StandardCharsets.UTF_8))
                                .getAsJsonObject();
                    } catch (RuntimeException e) {
                        // told by whoever called
                    }
                }
                if (!HttpUtil.isKeepAlive(response)) {
                    ctx.close();
                    channel = null;
                }
                if (ctx.channel() == channel || channel == null) {
                    done(
                            json,
                            response.status().code() == 200
                                    ? "no JSON"
                                    : "status " + response.status().code());
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                if (ctx.channel() == channel) {
                    done(null, "cut off");
                }
            }

            @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }
    }
}
