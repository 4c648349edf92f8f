package cacheproxy.daemon;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.discovery.WatchCoordination;
import cacheproxy.proxy.dispatch.Dispatcher;
import cacheproxy.proxy.dispatch.HealthCheckDelegate;
import java.util.function.Supplier;

/**
 * Connects a pool with the fleet. If this proxy belongs to no fleet, the pool makes health checks and watches discovery
 * by itself. The fleet's subsystem may be replaced at any time, so it is looked up on each call.
 */
final class PoolFleetLink implements HealthCheckDelegate, WatchCoordination {
    private final String pool;
    private final Supplier<Dispatcher> dispatcher;
    private final Subsystems subsystems;

    /** Creates the link of a pool. The dispatcher is requested only after the pool has been constructed. */
    PoolFleetLink(String pool, Supplier<Dispatcher> dispatcher, Subsystems subsystems) {
        this.pool = pool;
        this.dispatcher = dispatcher;
        this.subsystems = subsystems;
    }

    private FleetCoordination fleet() {
        return subsystems.get(FleetCoordination.class);
    }

    /** Returns whether a client's request may be sent to an ejected server, as its health check. */
    boolean mayProbe(int server) {
        FleetCoordination fleet = fleet();
        return fleet == null || fleet.mayProbe(dispatcher.get(), server);
    }

    @Override
    public boolean takeOver(int server) {
        FleetCoordination fleet = fleet();
        return fleet != null && fleet.takeHealthCheck(dispatcher.get(), server);
    }

    @Override
    public void attemptEnded(int server, AttemptOutcome outcome) {
        FleetCoordination fleet = fleet();
        if (fleet != null) {
            fleet.attemptEnded(dispatcher.get(), server, outcome);
        }
    }

    @Override
    public boolean shouldLongPoll() {
        FleetCoordination fleet = fleet();
        return fleet == null || fleet.shouldLongPoll(pool);
    }

    @Override
    public void listReceived(long version) {
        FleetCoordination fleet = fleet();
        if (fleet != null) {
            fleet.listReceived(pool, version);
        }
    }
}
