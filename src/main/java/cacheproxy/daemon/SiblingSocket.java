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
import cacheproxy.proxy.EventLoopContext;
import cacheproxy.proxy.RequestValidator;
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
 * The daemon's ICP socket: questions of its pools go out and those of siblings come in. All decisions are
 * {@code siblings}'; on the event loop only. Bounds: questions at once and a second, answers a second, remembered keys
 * and addresses; an answer is never longer than its question.
 */
final class SiblingSocket implements Subsystem {
    /** Its section of the configuration file. */
    static final String SECTION = "icp";

    /** Servers that the digest tells apart. */
    private static final int MOST_SERVERS = 4096;
    /** Strangers that are remembered for what they were denied. */
    private static final int MOST_STRANGERS = 1024;
    /** How long answers that come too late are known as such, and measured. */
    private static final double LATE_MS = 2000;

    private final SiblingsConfig spec;
    private final EventLoopContext core;
    private final SplittableRandom random;
    private final CacheDigest digest;
    private final PendingQueries<InetSocketAddress> questions;
    private final DenialLimiter<InetSocketAddress> denials = new DenialLimiter<>(MOST_STRANGERS);
    private final Map<String, SiblingStats> records;
    private final Map<InetSocketAddress, SiblingConfig> byAddress = new HashMap<>();
    private final Map<Integer, IntConsumer> waiting = new HashMap<>();
    private final TokenBucket questionRate;
    /** Each sibling has one, so that none can use up another's; all strangers share a small one. */
    private final Map<InetSocketAddress, TokenBucket> answerRates = new HashMap<>();

    private final TokenBucket strangersRate;
    /** By whose routes and pools questions are answered. */
    private Supplier<ConfigSnapshot> generation = () -> null;

    private volatile Channel channel;
    private long malformed;
    private long overRate;

    private SiblingSocket(DaemonConfig file, EventLoopContext core, SiblingSocket before, int seed) {
        spec = SiblingsConfig.of(file);
        this.core = core;
        random = new SplittableRandom(seed);
        IcpConfig icp = spec.icp();
        digest = new CacheDigest(icp.rememberedKeys(), icp.rememberMs(), MOST_SERVERS);
        questions = new PendingQueries<>(icp.maxPendingQueries(), LATE_MS, random.nextInt());
        records = before == null ? new HashMap<>() : before.records;
        questionRate = new TokenBucket(icp.maxQueriesPerSecond(), Math.max(1, icp.maxQueriesPerSecond() / 10));
        strangersRate = new TokenBucket(
                Math.max(1, icp.maxQueriesPerSecond() / 10), Math.max(1, icp.maxQueriesPerSecond() / 100));
        spec.siblings().forEach(s -> {
            byAddress.put(s.icpAddress(), s);
            answerRates.put(
                    s.icpAddress(),
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
        socket.generation = context.configuration();
        return Optional.of(socket);
    }

    private static SiblingSocket bind(DaemonConfig file, EventLoopContext core, SiblingSocket before, int seed)
            throws ConfigException, InterruptedException {
        SiblingSocket s = new SiblingSocket(file, core, before, seed);
        if (before != null
                && SocketBinder.same(before.spec.icp().address(), s.spec.icp().address())) {
            before.channel.close().sync(); // there is no second socket at its address
        }
        s.listen(file);
        return s;
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

    SiblingStats record(SiblingConfig s) {
        return records.computeIfAbsent(s.name(), n -> new SiblingStats());
    }

    PoolSiblings of(PoolConfig pool) {
        return new PoolSiblings(
                this, pool.siblings().stream().map(spec::sibling).toList(), random.split());
    }

    @Override
    public void close() {
        channel.close();
        waiting.clear();
    }

    // ---- what our servers have

    void read(String key, int server, boolean has) {
        if (has) {
            digest.answered(core.now(), RequestValidator.keyNumber(key), server);
        } else {
            digest.gone(RequestValidator.keyNumber(key));
        }
    }

    void written(String key) {
        digest.gone(RequestValidator.keyNumber(key));
    }

    @Override
    public void serverRestarted(int server) {
        digest.restarted(server);
    }

    // ---- asking

    /** Asks; where a bound is reached nothing goes out, and the module goes on when its wait is over. */
    void ask(String key, List<SiblingConfig> whom, double waitMs, IntConsumer answer) {
        double now = core.now();
        if (!questionRate.tryAcquire(now)) {
            overRate++;
            return;
        }
        String url = spec.icp().urlPrefix() + key;
        PendingQueries<InetSocketAddress>.Question q = questions.ask(
                now, url, whom.stream().map(SiblingConfig::icpAddress).toList(), waitMs);
        if (q == null) {
            return;
        }
        waiting.put(q.number, answer);
        core.after(waitMs, () -> {
            q.end();
            waiting.remove(q.number);
        });
        for (SiblingConfig s : whom) {
            record(s).asked(now);
            channel.write(new DatagramPacket(
                    IcpCodec.encode(channel.alloc(), IcpMessage.query(q.number, 0, url)), s.icpAddress()));
        }
        channel.flush();
    }

    private void answered(InetSocketAddress from, IcpMessage m) {
        boolean hit = m.opcode() == Opcode.HIT || m.opcode() == Opcode.HIT_OBJ;
        PendingQueries.Reply<PendingQueries<InetSocketAddress>.Question> r =
                questions.answered(core.now(), m.requestNumber(), from, m.url(), hit);
        switch (r.verdict()) {
            case FIRST_HIT, COUNTED, LAST, LATE -> record(byAddress.get(from)).answered(r.elapsedMs(), hit);
            default -> {
                return; // counted, and no business of any request
            }
        }
        boolean last = r.verdict() == PendingQueries.Verdict.LAST;
        if (last || r.verdict() == PendingQueries.Verdict.FIRST_HIT) {
            IntConsumer answer = waiting.remove(m.requestNumber());
            if (answer != null) {
                answer.accept(last ? 0 : byAddress.get(from).id());
            }
        }
    }

    // ---- answering

    private Opcode answer(InetSocketAddress from, IcpMessage query) {
        boolean denied = !byAddress.containsKey(from);
        if (!denials.answer(from, denied)) {
            return null;
        }
        if (denied) {
            return Opcode.DENIED;
        }
        ConfigSnapshot g = generation.get();
        String prefix = spec.icp().urlPrefix();
        if (g == null || !query.url().startsWith(prefix)) {
            return Opcode.ERR;
        }
        String key = query.url().substring(prefix.length());
        RouteInput s = key.isEmpty() || key.length() > 250 || spec.icp().listener() == null
                ? null
                : g.file.keys().subject(spec.icp().listener(), key, 0, 0, false);
        Route route = s == null ? null : g.file.routes().find(s);
        String poolKey = route == null || !(route.action() instanceof Route.ToPools) ? null : route.poolKey(s);
        if (poolKey == null) {
            return Opcode.MISS;
        }
        PoolRuntime pool = g.chain(route).get(0);
        boolean pressed = pool.dispatcher.pressed();
        long number = RequestValidator.keyNumber(poolKey);
        if (!pressed && digest.holds(core.now(), number)) {
            int server = digest.server(number);
            if (pool.has(server) && pool.dispatcher.sound(server)) {
                return Opcode.HIT;
            }
        }
        return pressed ? Opcode.MISS_NOFETCH : Opcode.MISS;
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            IcpMessage m;
            try {
                m = IcpCodec.decode(packet.content());
            } catch (IcpCodec.Malformed e) {
                malformed++;
                return;
            }
            if (m.opcode().answers()) {
                answered(packet.sender(), m);
            } else if (m.opcode() == Opcode.QUERY) {
                if (!answerRates.getOrDefault(packet.sender(), strangersRate).tryAcquire(core.now())) {
                    overRate++;
                    return;
                }
                Opcode with = answer(packet.sender(), m);
                if (with != null) {
                    ctx.write(new DatagramPacket(IcpCodec.encode(ctx.alloc(), m.answer(with)), packet.sender()));
                }
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram that did not arrive says nothing of the next.
        }
    }

    /** Datagrams dropped as they were no ICP, and those over the rate, so far. */
    long[] dropped() {
        return new long[] {malformed, overRate};
    }

    /** What became of the datagrams that claimed to be answers. */
    long count(PendingQueries.Verdict v) {
        return questions.count(v);
    }
}
