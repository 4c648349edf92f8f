package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.IcpConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.config.SiblingConfig;
import cacheproxy.config.SiblingsConfig;
import cacheproxy.icp.IcpCodec;
import cacheproxy.icp.IcpMessage;
import cacheproxy.icp.IcpMessage.Opcode;
import cacheproxy.limits.TokenBucket;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import cacheproxy.siblings.CacheDigest;
import cacheproxy.siblings.DenialLimiter;
import cacheproxy.siblings.PendingQueries;
import cacheproxy.siblings.SiblingStats;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/**
 * The ICP socket (RFC 2186): sends the queries of this proxy's pools and answers those of siblings. Decisions are made
 * in {@code cacheproxy.siblings}. Bounded: pending queries, queries and answers a second, remembered keys and
 * addresses; an answer is never longer than its query. On the event loop only.
 */
final class SiblingSocket implements Subsystem {
    /** Its section of the configuration file. */
    static final String SECTION = "icp";

    /** Longest key of the protocol. */
    private static final int MAX_KEY_CHARS = 250;
    /** Servers that the digest can distinguish. */
    private static final int MAX_SERVERS = 4096;
    /** Unknown addresses whose denials are counted. */
    private static final int MAX_STRANGERS = 1024;
    /** For how long late answers are recognized and measured. */
    private static final double LATE_MS = 2000;

    private final SiblingsConfig spec;
    private final EventLoopContext core;
    private final SplittableRandom random;
    private final CacheDigest digest;
    private final PendingQueries<InetSocketAddress> pendingQueries;
    private final DenialLimiter<InetSocketAddress> denials = new DenialLimiter<>(MAX_STRANGERS);
    private final Map<String, SiblingStats> statsByName;
    private final Map<InetSocketAddress, SiblingConfig> byAddress = new HashMap<>();
    private final Map<Integer, IntConsumer> callbacks = new HashMap<>();
    private final TokenBucket queryRate;
    /** One for each sibling, so that none uses up another's; unknown addresses share a small one. */
    private final Map<InetSocketAddress, TokenBucket> answerRates = new HashMap<>();

    private final TokenBucket strangersRate;
    /** Its routes and pools decide the answers. */
    private Supplier<ConfigSnapshot> configuration = () -> null;

    private volatile Channel channel;
    private long malformedCount;
    private long overRateCount;

    private SiblingSocket(DaemonConfig file, EventLoopContext core, SiblingSocket before, int seed) {
        spec = SiblingsConfig.of(file);
        this.core = core;
        random = new SplittableRandom(seed);
        IcpConfig icp = spec.icp();
        digest = new CacheDigest(icp.rememberedKeys(), icp.rememberMs(), MAX_SERVERS);
        pendingQueries = new PendingQueries<>(icp.maxPendingQueries(), LATE_MS, random.nextInt());
        statsByName = before == null ? new HashMap<>() : before.statsByName;
        queryRate = new TokenBucket(icp.maxQueriesPerSecond(), Math.max(1, icp.maxQueriesPerSecond() / 10));
        strangersRate = new TokenBucket(
                Math.max(1, icp.maxQueriesPerSecond() / 10), Math.max(1, icp.maxQueriesPerSecond() / 100));
        spec.siblings().forEach(sibling -> {
            byAddress.put(sibling.icpAddress(), sibling);
            answerRates.put(
                    sibling.icpAddress(),
                    new TokenBucket(icp.maxQueriesPerSecond(), Math.max(1, icp.maxQueriesPerSecond() / 10)));
        });
    }

    /** Binds; empty if the file has no {@code [icp]}. */
    static Optional<SiblingSocket> open(SubsystemContext context, DaemonConfig file, Subsystem previous)
            throws ConfigException, InterruptedException {
        int seed = context.random().nextInt();
        if (SiblingsConfig.of(file).icp() == null) {
            return Optional.empty();
        }
        SiblingSocket socket = bind(file, context.core(), (SiblingSocket) previous, seed);
        socket.configuration = context.configuration();
        return Optional.of(socket);
    }

    private static SiblingSocket bind(DaemonConfig file, EventLoopContext core, SiblingSocket before, int seed)
            throws ConfigException, InterruptedException {
        SiblingSocket sibling = new SiblingSocket(file, core, before, seed);
        if (before != null
                && SocketBinder.conflict(
                        before.spec.icp().address(), sibling.spec.icp().address())) {
            before.channel.close().sync(); // there is no second socket at its address
        }
        sibling.listen(file);
        return sibling;
    }

    private void listen(DaemonConfig asked) throws ConfigException, InterruptedException {
        channel =
                SocketBinder.datagrams(core, asked, "icp", spec.icp().address(), IcpMessage.MAX_LENGTH, new Handler());
    }

    @Override
    public void restore(DaemonConfig asked) throws ConfigException, InterruptedException {
        if (!channel.isOpen()) {
            listen(asked);
        }
    }

    @Override
    public boolean fits(DaemonConfig other) {
        return spec.equals(SiblingsConfig.of(other));
    }

    @Override
    public Optional<InetSocketAddress> address() {
        return Optional.of((InetSocketAddress) channel.localAddress());
    }

    /** The statistics of a sibling, which survive a reload. */
    SiblingStats stats(SiblingConfig sibling) {
        return statsByName.computeIfAbsent(sibling.name(), name -> new SiblingStats());
    }

    /** The siblings of a pool. */
    PoolSiblings of(PoolConfig pool) {
        return new PoolSiblings(
                this, pool.siblings().stream().map(spec::sibling).toList(), random.split());
    }

    // Nothing waits for the socket's end.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void close() {
        channel.close();
        callbacks.clear();
    }

    /** A server of ours has answered a read of a key. */
    void read(String key, int server, boolean has) {
        if (has) {
            digest.answered(core.now(), RequestValidator.keyNumber(key), server);
        } else {
            digest.gone(RequestValidator.keyNumber(key));
        }
    }

    /** A key has been written, so that what was remembered of it is void. */
    void written(String key) {
        digest.gone(RequestValidator.keyNumber(key));
    }

    @Override
    public void serverRestarted(int server) {
        digest.restarted(server);
    }

    /** Sends a query; where a bound is reached nothing is sent, and the policy goes on when its wait is over. */
    @SuppressWarnings("FutureReturnValueIgnored") // a datagram that is not sent is like one that is lost
    void query(String key, List<SiblingConfig> queried, double waitMs, IntConsumer answer) {
        double nowMs = core.now();
        if (!queryRate.tryAcquire(nowMs)) {
            overRateCount++;
            return;
        }
        String url = spec.icp().urlPrefix() + key;
        PendingQueries<InetSocketAddress>.Question pending = pendingQueries.ask(
                nowMs, url, queried.stream().map(SiblingConfig::icpAddress).toList(), waitMs);
        if (pending == null) {
            return;
        }
        callbacks.put(pending.number, answer);
        core.after(waitMs, () -> {
            pending.end();
            callbacks.remove(pending.number);
        });
        for (SiblingConfig sibling : queried) {
            stats(sibling).asked(nowMs);
            channel.write(new DatagramPacket(
                    IcpCodec.encode(channel.alloc(), IcpMessage.query(pending.number, 0, url)), sibling.icpAddress()));
        }
        channel.flush();
    }

    private void answered(InetSocketAddress from, IcpMessage message) {
        boolean hit = message.opcode() == Opcode.HIT || message.opcode() == Opcode.HIT_OBJ;
        PendingQueries.Reply<PendingQueries<InetSocketAddress>.Question> reply =
                pendingQueries.answered(core.now(), message.requestNumber(), from, message.url(), hit);
        switch (reply.verdict()) {
            case FIRST_HIT, COUNTED, LAST, LATE -> stats(byAddress.get(from)).answered(reply.elapsedMs(), hit);
            default -> {
                return; // counted, but it belongs to no pending query
            }
        }
        boolean last = reply.verdict() == PendingQueries.Verdict.LAST;
        if (last || reply.verdict() == PendingQueries.Verdict.FIRST_HIT) {
            IntConsumer answer = callbacks.remove(message.requestNumber());
            if (answer != null) {
                answer.accept(last ? 0 : byAddress.get(from).id());
            }
        }
    }

    /** Null if the query gets no answer. */
    private Opcode answer(InetSocketAddress from, IcpMessage query) {
        boolean denied = !byAddress.containsKey(from);
        if (!denials.answer(from, denied)) {
            return null;
        }
        if (denied) {
            return Opcode.DENIED;
        }
        ConfigSnapshot config = configuration.get();
        String prefix = spec.icp().urlPrefix();
        if (config == null || !query.url().startsWith(prefix)) {
            return Opcode.ERR;
        }
        String key = query.url().substring(prefix.length());
        RouteInput input =
                key.isEmpty() || key.length() > MAX_KEY_CHARS || spec.icp().listener() == null
                        ? null
                        : config.file.keys().subject(spec.icp().listener(), key, 0, 0, false);
        Route route = input == null ? null : config.file.routes().find(input);
        String poolKey = route == null || !(route.action() instanceof Route.ToPools) ? null : route.poolKey(input);
        return poolKey == null ? Opcode.MISS : answer(config.chain(route).get(0), poolKey);
    }

    private Opcode answer(PoolRuntime pool, String poolKey) {
        if (pool.dispatcher.pressed()) {
            return Opcode.MISS_NOFETCH;
        }
        long number = RequestValidator.keyNumber(poolKey);
        if (digest.holds(core.now(), number)) {
            int server = digest.server(number);
            if (pool.hasServer(server) && pool.dispatcher.sound(server)) {
                return Opcode.HIT;
            }
        }
        return Opcode.MISS;
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            IcpMessage message;
            try {
                message = IcpCodec.decode(packet.content());
            } catch (IcpCodec.Malformed e) {
                malformedCount++;
                return;
            }
            if (message.opcode().answers()) {
                answered(packet.sender(), message);
            } else if (message.opcode() == Opcode.QUERY) {
                queried(ctx, packet.sender(), message);
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a datagram that is not sent is like one that is lost
        private void queried(ChannelHandlerContext ctx, InetSocketAddress from, IcpMessage query) {
            if (!answerRates.getOrDefault(from, strangersRate).tryAcquire(core.now())) {
                overRateCount++;
                return;
            }
            Opcode answer = answer(from, query);
            if (answer != null) {
                ctx.write(new DatagramPacket(IcpCodec.encode(ctx.alloc(), query.answer(answer)), from));
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The failure of one datagram does not affect others.
        }
    }

    /**
     * Datagrams dropped as malformed, and those over the rate. Without a caller until log lines report them: see
     * docs/ROADMAP.md, "Next, in this order", item 1.
     */
    long[] dropped() {
        return new long[] {malformedCount, overRateCount};
    }

    /**
     * Datagrams that claimed to be answers, by verdict. Without a caller until log lines report them: see
     * docs/ROADMAP.md, "Next, in this order", item 1.
     */
    long count(PendingQueries.Verdict verdict) {
        return pendingQueries.count(verdict);
    }
}
