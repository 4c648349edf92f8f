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
 * The leases of this proxy: campaigns for those of the configuration, carries the messages of {@link LeaseManager}, and
 * hands the leases over when the process ends. On the event loop only.
 */
final class FleetLeases {
    /** The topic of lease datagrams. */
    static final byte TOPIC = 1;
    /** A peer that has sent a datagram so lately may be handed a lease. */
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
     * Leases without a campaign.
     *
     * @param grantsFromMs when this process's silence as a voter begins: its start, or later while grants of a
     *     predecessor with a longer longest lease may be valid
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

    /** Campaigns for the leases of a configuration, and for no others. */
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

    /** Does what is due; returns when to call it again, at the latest. */
    double tick(double nowMs) {
        return manager.tick(nowMs, System.currentTimeMillis());
    }

    /** Takes a lease datagram of a peer; a malformed one is ignored. */
    void receive(double nowMs, long from, byte[] payload) {
        LeaseMessage message = LeaseMessage.decode(payload);
        if (message != null) {
            manager.receive(nowMs, from, message, System.currentTimeMillis());
        }
    }

    /**
     * Gives leases up, or campaigns again, by the health of this process.
     *
     * @param loopOnTime whether the event loop is on time
     * @param reachesServers whether this proxy reaches servers, or none does
     */
    void updateEligibility(boolean loopOnTime, boolean reachesServers, double nowMs) {
        boolean nowEligible = loopOnTime && reachesServers;
        if (!draining && nowEligible != eligible) {
            eligible = nowEligible;
            String reason = loopOnTime ? "it reaches no server, and others do" : "its event loop is late";
            manager.setEligible(eligible, reason, nowMs);
        }
    }

    /** Hands each lease to the first candidate that was received from lately, and campaigns no more. */
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

    /** The lease of this name, held or not. */
    LeaseHandle lease(String name) {
        return manager.handle(name);
    }

    /** Answers the requests of operators on leases. */
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
