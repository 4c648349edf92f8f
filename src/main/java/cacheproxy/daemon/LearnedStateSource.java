package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.limits.ServerStartTimes;
import cacheproxy.proxy.dispatch.LearnedStateProvider;

/** State of an earlier process, given to pools as they start. On the event loop only. */
public interface LearnedStateSource {
    /** The restored state for a new pool; null if there is none. */
    LearnedStateProvider learnedStateFor(DaemonConfig file, PoolConfig pool);

    /** Adds the server start times that the earlier process knew. */
    void restoreStartTimes(ServerStartTimes startTimes, double nowMs);
}
