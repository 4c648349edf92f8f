package cacheproxy.daemon.fleet;

import cacheproxy.config.Addresses;
import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.control.ControlEndpoints.Answer;
import cacheproxy.control.ControlRequestHandler;
import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.daemon.FleetCoordination;
import cacheproxy.daemon.SocketBinder;
import cacheproxy.daemon.Subsystem;
import cacheproxy.daemon.SubsystemContext;
import cacheproxy.fleet.lease.EventLoopHealth;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.LeaseManager;
import cacheproxy.fleet.lease.LeaseMessage;
import cacheproxy.fleet.lease.LeaseTiming;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.lease.VoterSet;
import cacheproxy.fleet.peer.DatagramEnvelope;
import cacheproxy.fleet.peer.OpenedDatagram;
import cacheproxy.policy.PolicyApi.Outcome;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.EventLoopContext;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * The socket between the proxies of a fleet, and the duties that one of them holds for all. Decisions are
 * {@code lease}'s and {@code peers}'; this carries messages, calls them in time, and answers operators. On the event
 * loop only.
 */
public final class FleetSubsystem implements Subsystem, FleetCoordination {
    private static final byte LEASES = 1;
    /** Due times are looked at so often, at the least; by it the loop's lateness is seen, too. */
    private static final double TICK_MS = 20;
    /** Late by so much, so often within so long, it gives back what it holds. */
    private static final double LATE_MS = 250;

    private static final int LATE_OFTEN = 3;
    private static final double LATE_WITHIN_MS = 5000;
    /** Names that two processes share are looked for every so many ticks. */
    private static final int LOOK_TICKS = 50;
    /** A peer that was heard so lately may be handed a duty. */
    private static final double ALIVE_MS = 2000;

    private static final int MOST_WATCHED = 256;

    private final EventLoopContext core;
    private final String me;
    private final EventLoopHealth health = new EventLoopHealth(LATE_MS, LATE_OFTEN, LATE_WITHIN_MS);
    private final LeaseManager duties;
    private final LeaseEndpoints calls;
    private final FleetHealthChecks probes;
    private final DelegatedWatches watches;
    private final PeerListMonitor lists;
    private final FleetMembership members;
    private final FleetQuotas limits;
    private final List<FleetProtocol> users;
    private final DatagramEnvelope envelope;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();
    private final Map<Long, Double> heardAt = new HashMap<>();
    private FleetConfig spec;
    private Map<String, Stand> stands = Map.of();
    private volatile Channel channel;
    private double dueMs;
    private long ticks;
    private long refused;
    private long tellAt = 100;
    private boolean able = true;
    private boolean draining;
    private boolean closed;
    private final Set<Long> toldTwins = new HashSet<>();

    /** @param silentMs how much longer than for its own longest lease it gives nobody its word */
    private FleetSubsystem(
            FleetConfig spec, EventLoopContext core, long seed, double silentMs, Supplier<ConfigSnapshot> generation) {
        this.spec = spec;
        this.core = core;
        me = spec.me();
        double now = core.now();
        SplittableRandom random = new SplittableRandom(seed);
        duties = new LeaseManager(
                me,
                new LeaseTiming(spec.longestLeaseMs(), LeaseTiming.DRIFT),
                random.split(),
                now + silentMs * (1 + LeaseTiming.DRIFT),
                new Out());
        calls = new LeaseEndpoints(duties, core::now, NameHash.of(me));
        Link link = new Link();
        probes = new FleetHealthChecks(core, link, generation, random.nextLong());
        watches = new DelegatedWatches(core, link, generation, random.split());
        lists = new PeerListMonitor(core, link, generation);
        members = new FleetMembership(core, link, random.split());
        limits = new FleetQuotas(core, link, random.split(), members::isLikelyAlive);
        users = List.of(probes, watches, lists, members, limits);
        envelope = new DatagramEnvelope(
                NameHash.of(me),
                (long) now,
                spec.keys().stream()
                        .map(k -> k.getBytes(StandardCharsets.UTF_8))
                        .toList(),
                List.of());
    }

    /** Binds; not on the event loop. */
    public static Optional<FleetSubsystem> open(SubsystemContext context, DaemonConfig file, Subsystem before)
            throws ConfigException, InterruptedException {
        long seed = context.random().nextLong();
        FleetConfig spec = file.part(FleetConfig.class);
        if (spec == null) {
            return Optional.empty();
        }
        FleetSubsystem old = (FleetSubsystem) before;
        if (old != null && SocketBinder.same(old.spec.listen(), spec.listen())) {
            old.channel.close().sync(); // there is no second socket at its address
        }
        // What the one before has given its word on may run for its own longest lease.
        FleetSubsystem part = new FleetSubsystem(
                spec,
                context.core(),
                seed,
                old == null ? 0 : Math.max(0, old.spec.longestLeaseMs() - spec.longestLeaseMs()),
                context.configuration());
        part.listen(file);
        return Optional.of(part);
    }

    private void listen(DaemonConfig asked) throws ConfigException, InterruptedException {
        channel = SocketBinder.datagrams(
                core, asked, "fleet", spec.listen(), DatagramEnvelope.MAX_DATAGRAM_BYTES, new Handler());
    }

    @Override
    public void restore(DaemonConfig asked) throws ConfigException, InterruptedException {
        if (!channel.isOpen()) {
            listen(asked);
        }
    }

    /** Peers and duties may change under it; who it is and by what figures it has given its word may not. */
    @Override
    public boolean fits(DaemonConfig file) {
        FleetConfig other = file.part(FleetConfig.class);
        return other != null
                && other.me().equals(me)
                && other.listen().equals(spec.listen())
                && other.keys().equals(spec.keys())
                && other.longestLeaseMs() == spec.longestLeaseMs();
    }

    @Override
    public void apply(DaemonConfig file) {
        spec = file.part(FleetConfig.class);
        addresses.clear();
        names.clear();
        spec.peers().forEach(p -> {
            addresses.put(NameHash.of(p.name()), p.address());
            names.put(NameHash.of(p.name()), p.name());
        });
        envelope.useSenders(List.copyOf(names.keySet()));
        heardAt.keySet().retainAll(names.keySet());
        double now = core.now();
        Map<String, Stand> wanted = stands(file);
        stands.keySet().stream().filter(d -> !wanted.containsKey(d)).forEach(d -> duties.withdraw(d, now));
        stands = wanted;
        duties.tick(now, System.currentTimeMillis());
        wanted.forEach((name, s) -> duties.stand(
                name, s.leaseMs, new VoterSet(name, spec.names(s.zone), spec.namesBefore(s.zone), s.voters), now));
        calls.use(names, wanted.keySet());
        users.forEach(u -> u.apply(file, now));
        if (dueMs == 0) {
            dueMs = now;
            tick();
        }
    }

    /** What is stood for; @param zone null: by all peers */
    private record Stand(double leaseMs, int voters, String zone) {}

    private static Map<String, Stand> stands(DaemonConfig file) {
        FleetConfig f = file.part(FleetConfig.class);
        Map<String, Stand> all = new LinkedHashMap<>();
        f.duties().forEach(d -> all.put(d.name(), new Stand(d.leaseMs(), d.voters(), null)));
        f.probeDuties()
                .forEach(
                        d -> all.put(d, new Stand(f.probe().leaseMs(), f.probe().voters(), null)));
        f.limits()
                .duties()
                .forEach(d ->
                        all.put(d, new Stand(f.limits().leaseMs(), f.limits().voters(), null)));
        if (f.watch() != null && !f.names(f.zone()).isEmpty()) {
            watched(file)
                    .forEach(p -> all.put(
                            f.watchDuty(p),
                            new Stand(f.watch().leaseMs(), f.watch().voters(), f.zone())));
        }
        return all;
    }

    /** Pools that follow a list; beyond the bound each proxy watches by itself. */
    static List<String> watched(DaemonConfig file) {
        return file.pools().values().stream()
                .filter(p -> p.discovery() != null)
                .map(DaemonConfig.Pool::name)
                .limit(MOST_WATCHED)
                .toList();
    }

    private void tick() {
        if (closed) {
            return;
        }
        double now = core.now();
        health.ran(now, now - dueMs);
        boolean well = health.able(now);
        if (!draining && (well && lists.able(now)) != able) {
            able = !able;
            duties.able(able, well ? "it reaches no server, and others do" : "its event loop is late", now);
        }
        double next = Math.min(duties.tick(now, System.currentTimeMillis()), now + TICK_MS);
        for (FleetProtocol u : users) {
            next = Math.min(next, u.tick(now));
        }
        for (long twin : ++ticks % LOOK_TICKS == 0 ? envelope.duplicateIds() : List.<Long>of()) {
            if (toldTwins.add(twin)) {
                core.log("fleet: two processes send under the name " + names.get(twin)
                        + "; the newer one is heard; give each a name of its own");
            }
        }
        dueMs = Math.max(next, now + 1);
        core.after(dueMs - now, this::tick);
    }

    @Override
    public void drain() {
        draining = true;
        double now = core.now();
        for (LeaseManager.Sight s : duties.sights(now)) {
            if (s.holding()) {
                long to = duties.order(s.duty()).stream()
                        .filter(p -> p != NameHash.of(me) && heardAt.getOrDefault(p, -ALIVE_MS) > now - ALIVE_MS)
                        .findFirst()
                        .orElse(NameHash.NOBODY);
                duties.transfer(s.duty(), to, now, "this process ends");
            }
        }
        duties.able(false, "this process ends", now);
        duties.tick(now, System.currentTimeMillis());
    }

    @Override
    public void close() {
        closed = true;
        probes.close();
        duties.able(false, "it is replaced or ends", core.now());
        duties.tick(core.now(), System.currentTimeMillis());
        channel.close();
    }

    // ---- who acts under duties

    @Override
    public Map<String, ControlRequestHandler> controlHandlers() {
        Map<String, ControlRequestHandler> handlers = new LinkedHashMap<>();
        handlers.put("/duties", calls);
        handlers.put("/limits", limits::handle);
        handlers.put("/fleet", this::state);
        return handlers;
    }

    private Answer state(String method, String uri) {
        if (!method.equals("GET")) {
            return new Answer(405, "use GET /fleet", "GET");
        }
        JsonObject o = new JsonObject();
        o.addProperty("me", me);
        JsonArray peers = new JsonArray();
        names.forEach((id, name) -> {
            JsonObject p = new JsonObject();
            p.addProperty("name", name);
            if (heardAt.containsKey(id)) {
                p.addProperty("heard_ms_ago", Math.round(core.now() - heardAt.get(id)));
            }
            peers.add(p);
        });
        o.add("peers", peers);
        users.forEach(u -> u.describe(o));
        return new Answer(200, o.toString());
    }

    @Override
    public FleetQuotas quotas() {
        return limits;
    }

    @Override
    public boolean takeHealthCheck(Dispatcher pool, int server) {
        return !closed && probes.take(pool, server);
    }

    @Override
    public boolean mayProbe(Dispatcher pool, int server) {
        return closed || probes.mayTry(pool, server);
    }

    @Override
    public void attemptEnded(Dispatcher pool, int server, Outcome outcome) {
        probes.attemptEnded(pool, server, outcome);
    }

    @Override
    public boolean watchesClosely(String pool) {
        return closed || watches.closely(pool);
    }

    @Override
    public void listReceived(String pool, long version) {
        watches.have(pool, version);
    }

    private final class Link implements FleetProtocol.PeerLink {
        @Override
        public void send(long to, FleetProtocol from, byte[] payload) {
            FleetSubsystem.this.send(to, from.topic(), payload);
        }

        @Override
        public LeaseHandle lease(String duty) {
            return duties.tenure(duty);
        }

        @Override
        public long ownId() {
            return NameHash.of(me);
        }
    }

    private void send(long to, byte topic, byte[] payload) {
        InetSocketAddress at = addresses.get(to);
        if (at != null && channel != null) {
            channel.writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(envelope.seal(to, topic, payload)), at),
                    channel.voidPromise());
        }
    }

    // ---- messages

    private final class Out implements LeaseManager.Out {
        @Override
        public void send(long to, LeaseMessage m) {
            FleetSubsystem.this.send(to, LEASES, m.bytes());
        }

        @Override
        public void gained(String duty, long epoch) {
            core.log("duty " + duty + " gained epoch=" + epoch);
        }

        @Override
        public void lost(String duty, long epoch, String why) {
            core.log("duty " + duty + " lost epoch=" + epoch + " why=" + why);
        }
    }

    /**
     * Told at the first hundred, the first thousand and so on: peers with another key are silent, and nothing else says
     * why.
     */
    private void refused(InetSocketAddress from) {
        if (++refused == tellAt) {
            tellAt *= 10;
            core.log("fleet: " + refused + " datagrams dropped that are no peer's, the last from "
                    + Addresses.text(from) + "; are keys and addresses the same everywhere?");
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (closed) {
                return;
            }
            byte[] datagram = ByteBufUtil.getBytes(packet.content());
            // Without keys the address is all that speaks for a sender, so it counts before anything else is believed.
            OpenedDatagram o = spec.keys().isEmpty()
                            && !packet.sender().equals(addresses.get(DatagramEnvelope.claimedSender(datagram)))
                    ? null
                    : envelope.open(datagram, core.now());
            if (o == null) {
                refused(packet.sender());
                return;
            }
            double now = core.now();
            heardAt.put(o.sender(), now);
            if (o.topic() == LEASES) {
                LeaseMessage m = LeaseMessage.of(o.payload());
                if (m != null) {
                    duties.heard(now, o.sender(), m, System.currentTimeMillis());
                }
                return;
            }
            for (FleetProtocol u : users) {
                if (u.topic() == o.topic()) {
                    u.receive(now, o.sender(), o.payload());
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram that did not arrive says nothing of the next.
        }
    }
}
