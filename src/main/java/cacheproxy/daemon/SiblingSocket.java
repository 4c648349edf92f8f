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
import cacheproxy.icp.MalformedMessageException;
import cacheproxy.limits.TokenBucket;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.siblings.CacheDigest;
import cacheproxy.siblings.PendingQueries;
import cacheproxy.siblings.PendingQuery;
import cacheproxy.siblings.ReplyVerdict;
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
 * The ICP socket (RFC 2186): sends the queries of this proxy's pools and replies to queries of siblings. Decisions are
 * made in {@code cacheproxy.siblings}. The number of pending queries, the queries and replies per second, and the
 * remembered keys and addresses are bounded; a reply is never longer than its query. On the event loop only.
 */
final class SiblingSocket implements Subsystem {
    /** The subsystem's section of the configuration file. */
    static final String SECTION = "icp";

    /** Number of servers that the digest can distinguish. */
    private static final int MAX_SERVERS = 4096;
    /** How long late replies are recognized and measured. */
    private static final double LATE_REPLY_WINDOW_MS = 2000;

    private final SiblingsConfig config;
    private final EventLoopContext core;
    private final SplittableRandom random;
    private final CacheDigest digest;
    private final PendingQueries<InetSocketAddress> pendingQueries;
    private final IcpResponder responder;
    private final Map<String, SiblingStats> statsByName;
    private final Map<InetSocketAddress, SiblingConfig> byAddress = new HashMap<>();
    private final Map<Integer, IntConsumer> callbacks = new HashMap<>();
    private final TokenBucket queryRate;
    /**
     * A bucket for each sibling, so that no sibling uses up the rate of another; unknown addresses share a small
     * bucket.
     */
    private final Map<InetSocketAddress, TokenBucket> answerRates = new HashMap<>();

    private final TokenBucket unknownSenderRate;
    private volatile Channel channel;
    private long malformedCount;
    private long overRateCount;

    private SiblingSocket(
            DaemonConfig file,
            EventLoopContext core,
            Supplier<ConfigSnapshot> configuration,
            SiblingSocket previous,
            int seed) {
        config = SiblingsConfig.of(file);
        this.core = core;
        random = new SplittableRandom(seed);
        IcpConfig icp = config.icp();
        digest = new CacheDigest(icp.rememberedKeys(), icp.rememberMs(), MAX_SERVERS);
        responder = new IcpResponder(icp, core, digest, byAddress::containsKey, configuration);
        pendingQueries = new PendingQueries<>(icp.maxPendingQueries(), LATE_REPLY_WINDOW_MS, random.nextInt());
        statsByName = previous == null ? new HashMap<>() : previous.statsByName;
        queryRate = new TokenBucket(icp.maxQueriesPerSecond(), Math.max(1, icp.maxQueriesPerSecond() / 10));
        unknownSenderRate = new TokenBucket(
                Math.max(1, icp.maxQueriesPerSecond() / 10), Math.max(1, icp.maxQueriesPerSecond() / 100));
        config.siblings().forEach(sibling -> {
            byAddress.put(sibling.icpAddress(), sibling);
            answerRates.put(
                    sibling.icpAddress(),
                    new TokenBucket(icp.maxQueriesPerSecond(), Math.max(1, icp.maxQueriesPerSecond() / 10)));
        });
    }

    /** Binds the ICP socket; empty if the file has no section {@code [icp]}. */
    static Optional<SiblingSocket> open(SubsystemContext context, DaemonConfig file, Subsystem previous)
            throws ConfigException, InterruptedException {
        int seed = context.random().nextInt();
        if (SiblingsConfig.of(file).icp() == null) {
            return Optional.empty();
        }
        SiblingSocket previousSocket = (SiblingSocket) previous;
        SiblingSocket socket = new SiblingSocket(file, context.core(), context.configuration(), previousSocket, seed);
        socket.bind(file, previousSocket);
        return Optional.of(socket);
    }

    private void bind(DaemonConfig file, SiblingSocket previous) throws ConfigException, InterruptedException {
        if (previous != null
                && SocketBinder.conflict(
                        previous.config.icp().address(), config.icp().address())) {
            previous.channel.close().sync(); // a second socket can't be bound to the same address
        }
        listen(file);
    }

    private void listen(DaemonConfig file) throws ConfigException, InterruptedException {
        channel = SocketBinder.datagrams(
                core, file, "icp", config.icp().address(), IcpMessage.MAX_LENGTH, new DatagramHandler());
    }

    @Override
    public void restore(DaemonConfig file) throws ConfigException, InterruptedException {
        if (!channel.isOpen()) {
            listen(file);
        }
    }

    @Override
    public boolean fits(DaemonConfig other) {
        return config.equals(SiblingsConfig.of(other));
    }

    @Override
    public Optional<InetSocketAddress> address() {
        return Optional.of((InetSocketAddress) channel.localAddress());
    }

    /** Returns the statistics of a sibling, which are kept over reloads. */
    SiblingStats stats(SiblingConfig sibling) {
        return statsByName.computeIfAbsent(sibling.name(), name -> new SiblingStats());
    }

    /** Creates the view of a pool on its siblings. */
    PoolSiblings siblingsOf(PoolConfig pool) {
        return new PoolSiblings(
                this, pool.siblings().stream().map(config::sibling).toList(), random.split());
    }

    // Nothing waits until the socket is closed.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void close() {
        channel.close();
        callbacks.clear();
    }

    /** Records that a server of this proxy has answered a read of a key. */
    void readCompleted(String key, int server, boolean found) {
        if (found) {
            digest.add(core.nowMs(), RequestValidator.keyHash(key), server);
        } else {
            digest.remove(RequestValidator.keyHash(key));
        }
    }

    /** Records that a key has been written, which invalidates what the digest remembers about it. */
    void writeCompleted(String key) {
        digest.remove(RequestValidator.keyHash(key));
    }

    @Override
    public void serverRestarted(int server) {
        digest.removeServer(server);
    }

    /**
     * Sends a query to siblings. If a limit is reached, nothing is sent, and the policy continues when its wait has
     * ended.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // a datagram that is not sent counts as lost
    void query(String key, List<SiblingConfig> siblings, double waitMs, IntConsumer answer) {
        double nowMs = core.nowMs();
        if (!queryRate.tryAcquire(nowMs)) {
            overRateCount++;
            return;
        }
        String url = config.icp().urlPrefix() + key;
        PendingQuery<InetSocketAddress> pending = pendingQueries.open(
                nowMs, url, siblings.stream().map(SiblingConfig::icpAddress).toList(), waitMs);
        if (pending == null) {
            return;
        }
        callbacks.put(pending.number(), answer);
        core.after(waitMs, () -> {
            pending.close();
            callbacks.remove(pending.number());
        });
        for (SiblingConfig sibling : siblings) {
            stats(sibling).recordQuery(nowMs);
            channel.write(new DatagramPacket(
                    IcpCodec.encode(channel.alloc(), IcpMessage.query(pending.number(), 0, url)),
                    sibling.icpAddress()));
        }
        channel.flush();
    }

    private void handleReply(InetSocketAddress from, IcpMessage message) {
        boolean hit = message.opcode() == Opcode.HIT || message.opcode() == Opcode.HIT_OBJ;
        PendingQueries.Reply reply =
                pendingQueries.matchReply(core.nowMs(), message.requestNumber(), from, message.url(), hit);
        switch (reply.verdict()) {
            case FIRST_HIT, MISS, ALL_MISSED, LATE -> stats(byAddress.get(from)).recordReply(reply.elapsedMs(), hit);
            default -> {
                return; // counted by its verdict, but belongs to no pending query
            }
        }
        boolean allMissed = reply.verdict() == ReplyVerdict.ALL_MISSED;
        if (allMissed || reply.verdict() == ReplyVerdict.FIRST_HIT) {
            IntConsumer answer = callbacks.remove(message.requestNumber());
            if (answer != null) {
                answer.accept(allMissed ? 0 : byAddress.get(from).id());
            }
        }
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            IcpMessage message;
            try {
                message = IcpCodec.decode(packet.content());
            } catch (MalformedMessageException e) {
                malformedCount++;
                return;
            }
            if (message.opcode().isReply()) {
                handleReply(packet.sender(), message);
            } else if (message.opcode() == Opcode.QUERY) {
                handleQuery(ctx, packet.sender(), message);
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a datagram that is not sent counts as lost
        private void handleQuery(ChannelHandlerContext ctx, InetSocketAddress from, IcpMessage query) {
            if (!answerRates.getOrDefault(from, unknownSenderRate).tryAcquire(core.nowMs())) {
                overRateCount++;
                return;
            }
            responder
                    .answer(from, query)
                    .ifPresent(opcode ->
                            ctx.write(new DatagramPacket(IcpCodec.encode(ctx.alloc(), query.reply(opcode)), from)));
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
     * Returns the number of malformed datagrams and of queries over the rate limit, which were dropped. Without a
     * caller until log lines report them: see docs/ROADMAP.md, "Next, in this order", item 1.
     */
    long[] dropped() {
        return new long[] {malformedCount, overRateCount};
    }

    /**
     * Returns the number of received replies with a verdict. Without a caller until log lines report them: see
     * docs/ROADMAP.md, "Next, in this order", item 1.
     */
    long count(ReplyVerdict verdict) {
        return pendingQueries.count(verdict);
    }
}
