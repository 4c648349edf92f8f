package cacheproxy.daemon;

import cacheproxy.limits.ServerStartTimes;
import cacheproxy.limits.SlowStartBudget;
import cacheproxy.proxy.upstream.EventLoopContext;

/**
 * The objects that all pools of the daemon share.
 *
 * @param slowStartBudget limits the requests that all pools together send to servers that are warming up
 * @param startTimes when servers of the configuration have started
 */
record PoolContext(
        EventLoopContext core, SlowStartBudget slowStartBudget, ServerStartTimes startTimes, Subsystems subsystems) {}
