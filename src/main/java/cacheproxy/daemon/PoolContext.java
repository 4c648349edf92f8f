package cacheproxy.daemon;

import cacheproxy.limits.ServerStartTimes;
import cacheproxy.limits.SlowStartBudget;
import cacheproxy.proxy.upstream.EventLoopContext;

/**
 * What all pools of the daemon share.
 *
 * @param slowStartBudget what servers that are warming up may be sent by all pools together
 * @param startTimes when servers of the configuration have started
 */
record PoolContext(
        EventLoopContext core, SlowStartBudget slowStartBudget, ServerStartTimes startTimes, Subsystems subsystems) {}
