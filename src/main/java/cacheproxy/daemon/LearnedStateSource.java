package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.limits.ServerStartTimes;
import cacheproxy.proxy.dispatch.LearnedStateProvider;

/** Provides the state of an earlier process to pools as they start. On the event loop only. */
public interface LearnedStateSource {
    /** Returns the restored state for a new pool; null if there is none. */
    LearnedStateProvider learnedStateFor(DaemonConfig file, PoolConfig pool);

    /** Adds the server start times that the earlier process had recorded. */
    void restoreStartTimes(ServerStartTimes startTimes, double nowMs);
}
