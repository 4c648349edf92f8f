package damsonworks.proxy;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import damsonworks.RoutingApi.ListKind;
import damsonworks.RoutingApi.Member;
import damsonworks.RoutingApi.Settings;
import damsonworks.RoutingApi.State;
import damsonworks.config.Addresses;
import damsonworks.membership.ListDoubt;
import damsonworks.membership.ListNews;
import damsonworks.placement.ServerId;
import damsonworks.proxy.Timers.Timer;
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
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Follows discovery's list of servers for one pool. */
public final class DiscoveryClient implements Dispatcher.ListSource, Servers.Observer {
    private static final int WAIT_MS = 20_000;
    /** Of a call that asks for what there is. */
    private static final int ASK_MS = 1;
    /** How much longer than its wait a call may take before it counts as failed. */
    private static final int PATIENCE_MS = 4000;
    private static final int CONNECT_MS = 1000;
    private static final int AGAIN_MS = 250;
    private static final int MAX_LIST = 4 << 20;
    /**
     * What discovery may take to tell of a process that has ended, as a part of the time after which a proxy has to ask. The
     * operators name 3.1 s as the most they saw, where that is 10 s, and news come in rounds of up to half a second.
     */
    private static final double NOTICE = 0.35;
    private static final double QUICK = 0.1;
    /** Within which all proxies tell of a version, one after another; several times as long as a message takes. */
    private static final double NEWS = 0.03;
    /** No call is put off for longer, as a part of the same. */
    private static final double LONGEST_DELAY = 0.25;

    /** A server of the list. */
    public record Host(Member member, SocketAddress dial) { }

    /**
     * What is followed.
     *
     * @param known the list as it was last had, in discovery's form; null for none
     * @param ask whether the module asks for the list; else it is followed from the start
     */
    public record Source(InetSocketAddress address, JsonObject known, boolean ask, List<String> zones, List<String> kinds) {
        static Source of(Config config) {
            return new Source(config.discovery(), config.known(), config.settings().askForList(), config.zones(),
                    config.kinds());
        }
    }

    private final Core core;
    private final EventLoop loop;
    private final ListDoubt doubt;
    private final ListNews news = new ListNews();
    private final double newsMs;
    private Timer looking;
    private double lookAt = Double.POSITIVE_INFINITY;
    private final Source source;
    private final Dispatcher dispatcher;
    private final Line watchLine = new Line();
    private final Line listLine = new Line();
    private InetSocketAddress address;
    private final Pace pace;
    private long version;
    private boolean closed;
    /** Whether the module has it watch. */
    private boolean watching;
    /** Whether the last call failed. */
    private boolean failing;

    /** How closely the list is watched, where others may do so for this proxy. */
    public interface Pace {
        /** Whether a call is to be out at all times; else there is one only when {@link DiscoveryClient#ask} says so. */
        boolean closely();

        /** A list of this version has come. */
        void have(long version);
    }

    public DiscoveryClient(Core core, Source source, Dispatcher dispatcher) {
        this(core, source, dispatcher, null);
    }

    /** @param pace null: it always watches closely */
    public DiscoveryClient(Core core, Source source, Dispatcher dispatcher, Pace pace) {
        this.pace = pace;
        this.core = core;
        loop = core.loop();
        Settings settings = dispatcher.settings();
        double within = settings.askWithinMs();
        double spread = Math.min(within * LONGEST_DELAY, settings.instances() * settings.connectTimeoutMs());
        double place = (double) settings.me() / Math.max(1, settings.instances());
        doubt = new ListDoubt(within * NOTICE, within * QUICK, spread * place);
        newsMs = within * NEWS * place;
        this.source = source;
        this.dispatcher = dispatcher;
        address = source.address();
    }

    /**
     * Discovery stands elsewhere from now on. The old address soon falls silent and what the new one has counts as
     * told, so it is asked at once, and for all: its versions need not go on from those of the old.
     */
    void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        version = 0;
        news.forget();
        doubt.forgetVersions();
        listLine.close();
        watchLine.close();
        watch(true);
    }

    /** Hands over the list as it was last had and, where lists are pushed, begins to follow it. */
    public void start() {
        List<Host> known = List.of();
        if (source.known() != null) {
            try {
                known = hosts(source.known());
                version = seq(source.known());
            } catch (RuntimeException e) {
                dispatcher.log("the list in the configuration is of no use: " + e.getMessage());
            }
        }
        dispatcher.listed(ListKind.CACHED, known);
        doubt.told(version, true, known.stream().map(Host::member).toList());
        core.observe(this);
        if (!source.ask()) {
            watch(true);
        }
    }

    @Override
    public void watch(boolean on) {
        watching = on;
        if (on && (version == 0 || failing || closely())) {
            call(WAIT_MS);
        } else {
            watchLine.close();
        }
    }

    private void call(int waitMs) {
        watchLine.call("/discovery/hosts?since=" + version + "&timeout_ms=" + waitMs, waitMs, this::watched);
    }

    private boolean closely() {
        return pace == null || pace.closely();
    }

    /** There is a later list: calls for it. A watch that is out should have told, so it has fallen silent and is begun anew. */
    public void ask() {
        if (watching && watchLine.waiting == null) {
            call(ASK_MS);
        } else if (watching && closely()) {
            call(WAIT_MS);
        }
    }

    /** The pace has changed: a call is to be out from now on, or only the one that is. */
    public void pace(boolean closely) {
        if (watching && closely && watchLine.waiting == null) {
            call(WAIT_MS);
        } else if (watching && !closely && version != 0 && watchLine.waiting != null && !failing) {
            watchLine.close(); // discovery need not keep it
        }
    }

    @Override
    public void close() {
        closed = true;
        core.servers.forget(this);
        listLine.close();
        watchLine.close();
    }

    @Override
    public void fetch() {
        listLine.call("/discovery/hosts", 0, json -> {
            try {
                if (json == null || seq(json) < version) {
                    throw new IllegalArgumentException("no answer, or one that is older than the list held");
                }
                apply(json);
            } catch (RuntimeException e) {
                failed(e);
            }
        });
    }

    private void watched(JsonObject json) {
        try {
            if (json == null) {
                throw new IllegalArgumentException("no answer");
            }
            failing = false;
            apply(json);
        } catch (RuntimeException e) {
            failing = true;
            if (source.ask()) {
                failed(e);
            } else {
                loop.schedule(() -> watch(true), AGAIN_MS, TimeUnit.MILLISECONDS);
            }
            return;
        }
        // A watch lasts only while each call follows the last answer within 200 ms. Without the next one the list
        // stays as it is for good, but where another proxy says when to call: drained and departed servers go on being
        // sent to, also at reused addresses.
        watch(true);
    }

    private void apply(JsonObject json) {
        List<Host> hosts = hosts(json);
        boolean whole = json.get("whole").getAsBoolean();
        long seq = seq(json);
        if (!whole && seq < version) {
            throw new IllegalArgumentException("changes up to " + seq + " after " + version);
        }
        if (seq > version) {
            news.told();
            core.after(newsMs, this::tellNews);
        }
        version = seq;
        if (pace != null) {
            pace.have(seq);
        }
        doubt.told(seq, whole, hosts.stream().map(Host::member).toList());
        dispatcher.listed(whole ? ListKind.FULL : ListKind.CHANGES, hosts);
    }

    @Override
    public void refused(int server) {
        doubt.refused(core.now(), server);
        look();
    }

    @Override
    public void connected(int server) {
        doubt.connected(server);
    }

    private void tellNews() {
        byte[] message = closed ? null : news.message(version);
        if (message != null) {
            dispatcher.tell(-1, message);
        }
    }

    /** A message of another proxy that {@link ListNews#is} one of the list's version. */
    void heard(int peer, byte[] message) {
        long seq = ListNews.version(message);
        news.heard(peer, seq);
        if (seq > version) {
            doubt.claimed(core.now(), seq);
            look();
        }
    }

    /** Comes back when the doubt is due. One that has moved to later since finds out then. */
    private void look() {
        if (doubt.dueAt() < lookAt && !closed) {
            if (looking != null) {
                looking.cancel();
            }
            lookAt = doubt.dueAt();
            looking = core.after(lookAt - core.now(), this::doubt);
        }
    }

    /** A watch that has fallen silent is begun anew; between two watches the module asks by itself. */
    private void doubt() {
        lookAt = Double.POSITIVE_INFINITY;
        if (!closed && doubt.ask(core.now())) {
            if (watchLine.waiting != null) {
                dispatcher.log("discovery: the watch seems to have fallen silent, asking anew");
                watchLine.close();
                watch(true);
            } else if (!closely()) {
                ask();
            }
        }
        look();
    }

    private void failed(RuntimeException cause) {
        dispatcher.log("discovery: " + cause.getMessage());
        dispatcher.listed(ListKind.FAILED, List.of());
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
        State state = switch (h.get("health").getAsString()) {
            case "up" -> State.READY;
            case "draining" -> State.DRAINING;
            case "removed" -> State.GONE;
            default -> throw new IllegalArgumentException("host " + name + ": unknown health");
        };
        int zone = source.zones().indexOf(Config.word(h.get("site").getAsString()));
        int kind = source.kinds().indexOf(Config.word(h.get("class").getAsString()));
        float weight = h.has("share") ? h.get("share").getAsFloat() : 1;
        if (zone < 0 || kind < 0 || !(weight >= 0) || Float.isInfinite(weight)) {
            throw new IllegalArgumentException("host " + name + ": unknown site or class, or bad share");
        }
        double born = h.has("born_ms") ? h.get("born_ms").getAsDouble() : 0;
        int cell = h.has("block") ? h.get("block").getAsInt() : 0;
        return new Host(new Member(ServerId.of(name), zone, kind, cell, state, weight, born),
                Addresses.of(h.get("dial").getAsString()));
    }

    /** A connection for one call at a time, kept between calls. */
    private final class Line {
        private Channel channel;
        private Consumer<JsonObject> waiting;
        private Future<?> timer;

        /** Calls; the consumer gets the answer, or null where there is none that can be used. */
        void call(String path, int waitMs, Consumer<JsonObject> then) {
            if (closed) {
                return;
            }
            if (waiting != null) {
                close();
            }
            waiting = then;
            timer = loop.schedule(() -> done(null), waitMs + PATIENCE_MS, TimeUnit.MILLISECONDS);
            if (channel != null && channel.isActive()) {
                write(channel, path);
                return;
            }
            channel = new Bootstrap().group(loop).channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new Initializer(new HttpClientCodec(), new HttpObjectAggregator(MAX_LIST), new Answer()))
                    .connect(address).addListener(f -> {
                        if (f.isSuccess()) {
                            write(((ChannelFuture) f).channel(), path);
                        } else if (waiting == then) { // not a call that has taken the place of this one
                            done(null);
                        }
                    }).channel();
        }

        private void write(Channel to, String path) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
            to.writeAndFlush(request);
        }

        void close() {
            waiting = null;
            if (timer != null) {
                timer.cancel(false);
            }
            if (channel != null) {
                channel.close();
                channel = null;
            }
        }

        private void done(JsonObject json) {
            Consumer<JsonObject> then = waiting;
            if (json == null) {
                close();
            }
            if (then != null) {
                waiting = null;
                timer.cancel(false);
                then.accept(json);
            }
        }

        private final class Answer extends SimpleChannelInboundHandler<FullHttpResponse> {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
                JsonObject json = null;
                if (response.status().code() == 200 && response.decoderResult().isSuccess()) {
                    try {
                        json = JsonParser.parseString(response.content().toString(StandardCharsets.UTF_8))
                                .getAsJsonObject();
                    } catch (RuntimeException e) {
                        dispatcher.log("discovery: no JSON");
                    }
                }
                if (!HttpUtil.isKeepAlive(response)) {
                    ctx.close();
                    channel = null;
                }
                if (ctx.channel() == channel || channel == null) {
                    done(json);
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                if (ctx.channel() == channel) {
                    done(null);
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }
    }
}
