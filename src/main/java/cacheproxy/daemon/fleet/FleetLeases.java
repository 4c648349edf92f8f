package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.control.ControlRequestHandler;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.LeaseListener;
import cacheproxy.fleet.lease.LeaseManager;
import cacheproxy.fleet.lease.LeaseMessage;
import cacheproxy.fleet.lease.LeaseStatus;
import cacheproxy.fleet.lease.LeaseTiming;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The leases of this proxy: campaigns for the configured leases, transports the messages of {@link LeaseManager}, and
 * hands the leases over when the process ends. On the event loop only.
 */
final class FleetLeases {
    /** The topic of lease datagrams. */
    static final byte TOPIC = 1;
    /** A peer from which a datagram was received within this time may be handed a lease. */
    private static final double SUCCESSOR_SILENCE_MS = 2000;

    private static final String PROCESS_ENDS = "this process ends";

    private final EventLoopContext core;
    private final FleetSocket socket;
    private final long ownId;
    private final LeaseManager manager;
    private final LeaseEndpoints endpoints;
    private Map<String, LeaseSpec> specs = Map.of();
    private boolean eligible = true;
    private boolean draining;

    /**
     * Creates the leases without campaigning for any.
     *
     * @param grantsFromMs the start of the time in which this process grants nothing as a voter: its own start, or
     *     later if grants of a predecessor with a longer longest lease may still be valid
     */
    FleetLeases(
            EventLoopContext core,
            FleetSocket socket,
            FleetConfig config,
            SplittableRandom random,
            double grantsFromMs) {
        this.core = core;
        this.socket = socket;
        ownId = NameHash.of(config.self());
        manager = new LeaseManager(
                config.self(),
                new LeaseTiming(config.longestLeaseMs(), LeaseTiming.MAX_CLOCK_DRIFT),
                random,
                grantsFromMs,
                new Outbox());
        endpoints = new LeaseEndpoints(manager, core::nowMs, ownId);
    }

    /** Campaigns for the leases of a configuration, and withdraws from all others. */
    void apply(DaemonConfig file, double nowMs) {
        FleetConfig config = file.section(FleetConfig.class);
        Map<String, LeaseSpec> wanted = LeaseSpec.of(file);
        specs.keySet().stream()
                .filter(name -> !wanted.containsKey(name))
                .forEach(name -> manager.withdraw(name, nowMs));
        specs = wanted;
        tick(nowMs);
        wanted.forEach((name, spec) -> manager.campaign(name, spec.leaseMs(), spec.voterSet(name, config), nowMs));
        endpoints.update(socket.names(), wanted.keySet());
    }

    /** Does the work that is due. Returns the latest time of the next call. */
    double tick(double nowMs) {
        return manager.tick(nowMs, System.currentTimeMillis());
    }

    /** Handles a lease datagram of a peer; a malformed one is ignored. */
    void receive(double nowMs, long from, byte[] payload) {
        LeaseMessage message = LeaseMessage.decode(payload);
        if (message != null) {
            manager.receive(nowMs, from, message, System.currentTimeMillis());
        }
    }

    /**
     * Gives leases up, or campaigns again, depending on the health of this process.
     *
     * @param loopOnTime whether the event loop is on time
     * @param reachesServers whether this proxy reaches servers, or no proxy does
     */
    void updateEligibility(boolean loopOnTime, boolean reachesServers, double nowMs) {
        boolean nowEligible = loopOnTime && reachesServers;
        if (!draining && nowEligible != eligible) {
            eligible = nowEligible;
            String reason = loopOnTime ? "it reaches no server, and others do" : "its event loop is late";
            manager.setEligible(eligible, reason, nowMs);
        }
    }

    /**
     * Hands each lease over to the first candidate from which a datagram was received recently, and stops campaigning.
     */
    void drain() {
        draining = true;
        double nowMs = core.nowMs();
        for (LeaseStatus status : manager.statuses(nowMs)) {
            if (status.heldHere()) {
                manager.transfer(status.lease(), successorOf(status.lease(), nowMs), nowMs, PROCESS_ENDS);
            }
        }
        manager.setEligible(false, PROCESS_ENDS, nowMs);
        tick(nowMs);
    }

    private long successorOf(String lease, double nowMs) {
        return manager.candidateOrder(lease).stream()
                .filter(peer -> peer != ownId && socket.lastReceivedMs(peer) > nowMs - SUCCESSOR_SILENCE_MS)
                .findFirst()
                .orElse(NameHash.NO_ID);
    }

    /** Gives up all leases. */
    void close() {
        manager.setEligible(false, "the fleet configuration is replaced, or the process ends", core.nowMs());
        tick(core.nowMs());
    }

    /** Returns the handle of a lease, whether it is held here or not. */
    LeaseHandle lease(String name) {
        return manager.handle(name);
    }

    /** Returns the handler of operators' requests about leases. */
    ControlRequestHandler endpoints() {
        return endpoints;
    }

    private final class Outbox implements LeaseListener {
        @Override
        public void send(long to, LeaseMessage message) {
            socket.send(to, TOPIC, message.encode());
        }

        @Override
        public void gained(String lease, long epoch) {
            core.log("duty " + lease + " gained epoch=" + epoch);
        }

        @Override
        public void lost(String lease, long epoch, String reason) {
            core.log("duty " + lease + " lost epoch=" + epoch + " why=" + reason);
        }
    }
}
