package cacheproxy.proxy.dispatch;

import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.upstream.EventLoopContext;

/**
 * The services that the components of a pool share.
 *
 * @param loopContext the event loop's clock, timers, servers and limits
 * @param options the pool's options
 * @param policy reports events to the routing policy
 * @param servers the servers on the endpoint list
 * @param log writes events of requests to the event log
 * @param extensions links to siblings and to the fleet's health checks
 */
record PoolServices(
        EventLoopContext loopContext,
        PoolOptions options,
        PolicyEvents policy,
        PoolServers servers,
        RequestEventLog log,
        PoolExtensions extensions) {
    /** Creates the services for a pool with these options; they depend on no other component of the pool. */
    static PoolServices of(EventLoopContext loopContext, PoolOptions options) {
        PoolServers servers = new PoolServers(loopContext, options);
        return new PoolServices(
                loopContext,
                options,
                new PolicyEvents(loopContext),
                servers,
                new RequestEventLog(loopContext, options.settings(), servers),
                new PoolExtensions());
    }

    /** The settings of the routing policy. */
    PolicySettings settings() {
        return options.settings();
    }
}
