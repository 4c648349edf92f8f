package cacheproxy.daemon.fleet;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.control.ControlRequestHandler;
import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.daemon.FleetCoordination;
import cacheproxy.daemon.SocketBinder;
import cacheproxy.daemon.Subsystem;
import cacheproxy.daemon.SubsystemContext;
import cacheproxy.fleet.lease.EventLoopHealth;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.LeaseTiming;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.peer.OpenedDatagram;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.dispatch.Dispatcher;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * The fleet that this proxy belongs to, configured by the section {@code [fleet]}: opens the socket, drives the leases
 * and the protocols by one timer, and dispatches datagrams to them. On the event loop only, except for opening and
 * restoring.
 */
public final class FleetSubsystem implements Subsystem, FleetCoordination {
    /** The longest time between two ticks. The delay of ticks is also the measure of the event loop's lateness. */
    private static final double MAX_TICK_INTERVAL_MS = 20;
    /** The shortest time between two ticks. */
    private static final double MIN_TICK_INTERVAL_MS = 1;
    /** If ticks are late by this much, as often as this within the window, the proxy gives its leases up. */
    private static final double LOOP_LATENESS_MS = 250;

    private static final int MAX_LATE_TICKS = 3;
    private static final double LATENESS_WINDOW_MS = 5000;
    /** Number of ticks between two checks for names that are used by two processes. */
    private static final int DUPLICATE_CHECK_TICKS = 50;

    private final EventLoopContext core;
    private final String ownName;
    private final EventLoopHealth loopHealth =
            new EventLoopHealth(LOOP_LATENESS_MS, MAX_LATE_TICKS, LATENESS_WINDOW_MS);
    private final FleetSocket socket;
    private final FleetLeases leases;
    private final FleetHealthChecks healthChecks;
    private final DelegatedWatches watches;
    private final PeerListMonitor peerLists;
    private final FleetQuotas quotas;
    private final List<FleetProtocol> protocols;
    private final ControlRequestHandler stateEndpoint;
    private FleetConfig config;
    private double dueMs;
    private long ticks;
    private boolean closed;

    /**
     * @param extraSilenceMs how much longer than its own longest lease requires this proxy grants nothing as a voter
     */
    private FleetSubsystem(
            FleetConfig config,
            EventLoopContext core,
            long seed,
            double extraSilenceMs,
            Supplier<ConfigSnapshot> configuration) {
        this.config = config;
        this.core = core;
        ownName = config.self();
        double startedMs = core.nowMs();
        SplittableRandom random = new SplittableRandom(seed);
        socket = new FleetSocket(core, config, startedMs, this::receive);
        double grantsFromMs = startedMs + extraSilenceMs * (1 + LeaseTiming.MAX_CLOCK_DRIFT);
        leases = new FleetLeases(core, socket, config, random.split(), grantsFromMs);
        FleetContext context = new FleetContext(core, new Link(), configuration);
        healthChecks = new FleetHealthChecks(context, random.nextLong());
        watches = new DelegatedWatches(context, random.split());
        peerLists = new PeerListMonitor(context);
        FleetMembership membership = new FleetMembership(context, random.split());
        quotas = new FleetQuotas(context, random.split(), membership::isLikelyAlive);
        protocols = List.of(healthChecks, watches, peerLists, membership, quotas);
        stateEndpoint = new FleetStateEndpoint(ownName, socket, protocols, core::nowMs);
    }

    /**
     * Opens the fleet of a configuration and binds its socket; empty if no fleet is configured. Not on the event loop.
     */
    public static Optional<FleetSubsystem> open(SubsystemContext context, DaemonConfig file, Subsystem before)
            throws ConfigException, InterruptedException {
        long seed = context.random().nextLong();
        FleetConfig config = file.section(FleetConfig.class);
        if (config == null) {
            return Optional.empty();
        }
        FleetSubsystem previous = (FleetSubsystem) before;
        double extraSilenceMs = 0;
        if (previous != null) {
            if (SocketBinder.conflict(previous.config.listen(), config.listen())) {
                previous.socket.releaseAddress(); // a second socket can't be bound to the same address
            }
            // Grants of the previous instance can be valid for its longest lease.
            extraSilenceMs = Math.max(0, previous.config.longestLeaseMs() - config.longestLeaseMs());
        }
        FleetSubsystem fleet =
                new FleetSubsystem(config, context.core(), seed, extraSilenceMs, context.configuration());
        fleet.socket.bind(file);
        return Optional.of(fleet);
    }

    @Override
    public void restore(DaemonConfig file) throws ConfigException, InterruptedException {
        if (!socket.isBound()) {
            socket.bind(file);
        }
    }

    /**
     * Returns whether this instance can continue: peers and leases may change, but not its identity and the longest
     * lease that it may have granted.
     */
    @Override
    public boolean fits(DaemonConfig file) {
        FleetConfig other = file.section(FleetConfig.class);
        return other != null
                && other.self().equals(ownName)
                && other.listen().equals(config.listen())
                && other.keys().equals(config.keys())
                && other.longestLeaseMs() == config.longestLeaseMs();
    }

    @Override
    public void apply(DaemonConfig file) {
        config = file.section(FleetConfig.class);
        socket.usePeers(config.peers());
        double nowMs = core.nowMs();
        leases.apply(file, nowMs);
        protocols.forEach(protocol -> protocol.apply(file, nowMs));
        boolean isFirst = dueMs == 0;
        if (isFirst) {
            dueMs = nowMs;
            tick();
        }
    }

    private void tick() {
        if (closed) {
            return;
        }
        double nowMs = core.nowMs();
        loopHealth.recordTask(nowMs, nowMs - dueMs);
        leases.updateEligibility(loopHealth.isHealthy(nowMs), peerLists.mayHoldLeases(nowMs), nowMs);
        double nextMs = Math.min(leases.tick(nowMs), nowMs + MAX_TICK_INTERVAL_MS);
        for (FleetProtocol protocol : protocols) {
            nextMs = Math.min(nextMs, protocol.tick(nowMs));
        }
        ticks++;
        if (ticks % DUPLICATE_CHECK_TICKS == 0) {
            socket.logDuplicateNames();
        }
        dueMs = Math.max(nextMs, nowMs + MIN_TICK_INTERVAL_MS);
        core.after(dueMs - nowMs, this::tick);
    }

    private void receive(double nowMs, OpenedDatagram datagram) {
        if (datagram.topic() == FleetLeases.TOPIC) {
            leases.receive(nowMs, datagram.sender(), datagram.payload());
            return;
        }
        for (FleetProtocol protocol : protocols) {
            if (protocol.topic() == datagram.topic()) {
                protocol.receive(nowMs, datagram.sender(), datagram.payload());
            }
        }
    }

    @Override
    public void drain() {
        leases.drain();
    }

    @Override
    public void close() {
        closed = true;
        healthChecks.close();
        leases.close();
        socket.close();
    }

    @Override
    public Map<String, ControlRequestHandler> controlHandlers() {
        Map<String, ControlRequestHandler> handlers = new LinkedHashMap<>();
        handlers.put("/duties", leases.endpoints());
        handlers.put("/limits", quotas::handle);
        handlers.put("/fleet", stateEndpoint);
        return handlers;
    }

    @Override
    public FleetQuotas quotas() {
        return quotas;
    }

    @Override
    public boolean takeHealthCheck(Dispatcher pool, int server) {
        return !closed && healthChecks.take(pool, server);
    }

    @Override
    public boolean mayProbe(Dispatcher pool, int server) {
        return closed || healthChecks.mayProbe(pool, server);
    }

    @Override
    public void attemptEnded(Dispatcher pool, int server, AttemptOutcome outcome) {
        healthChecks.attemptEnded(pool, server, outcome);
    }

    @Override
    public boolean shouldLongPoll(String pool) {
        return closed || watches.shouldLongPoll(pool);
    }

    @Override
    public void listReceived(String pool, long version) {
        watches.listReceived(pool, version);
    }

    private final class Link implements PeerLink {
        @Override
        public void send(long to, FleetProtocol from, byte[] payload) {
            socket.send(to, from.topic(), payload);
        }

        @Override
        public LeaseHandle lease(String name) {
            return leases.lease(name);
        }

        @Override
        public long ownId() {
            return NameHash.of(ownName);
        }
    }
}
