package cacheproxy.daemon;

import cacheproxy.daemon.fleet.FleetQuotas;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.dispatch.Dispatcher;

/**
 * The services that pools and requests use of the fleet that this proxy belongs to: health checks made by one proxy for
 * all, the delegated watch of discovery, and fleet-wide quotas. On the event loop only.
 */
public interface FleetCoordination {
    /**
     * Takes responsibility for a health check that a pool's policy has requested.
     *
     * @return false if the pool has to make the check itself
     */
    boolean takeHealthCheck(Dispatcher pool, int server);

    /** Returns whether a pool may send a client's request to an ejected server, as its health check. */
    boolean mayProbe(Dispatcher pool, int server);

    /** Reports the outcome of an attempt of a client's request. */
    void attemptEnded(Dispatcher pool, int server, AttemptOutcome outcome);

    /** Returns whether this proxy itself long-polls discovery for a pool. */
    boolean shouldLongPoll(String pool);

    /** Reports the version of an endpoint list that a pool has received. */
    void listReceived(String pool, long version);

    /** Returns the quotas of the fleet. */
    FleetQuotas quotas();
}
