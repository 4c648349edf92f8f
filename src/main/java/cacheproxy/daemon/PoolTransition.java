package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.proxy.dispatch.LearnedStateProvider;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Determines the pools of a new configuration: a pool that fits it continues; any other is created with the learned
 * state of the previous pool of its name or, if there is none, of a restored snapshot. On the event loop only.
 */
final class PoolTransition {
    private final EventLoopContext core;
    private final ServerStarts serverStarts;
    private final Subsystems subsystems;
    private final SplittableRandom random;

    /** @param random generates the seeds of new pools */
    PoolTransition(EventLoopContext core, ServerStarts serverStarts, Subsystems subsystems, SplittableRandom random) {
        this.core = core;
        this.serverStarts = serverStarts;
        this.subsystems = subsystems;
        this.random = random;
    }

    /**
     * Returns the configuration's pools by name.
     *
     * @param previous null if this is the first configuration
     */
    Map<String, PoolRuntime> poolsOf(DaemonConfig file, ConfigSnapshot previous, double nowMs) {
        Map<String, PoolRuntime> pools = new LinkedHashMap<>();
        for (PoolConfig pool : file.pools().values()) {
            PoolRuntime current = previous == null ? null : previous.pools.get(pool.name());
            pools.put(pool.name(), continueOrReplace(file, pool, current, nowMs));
        }
        return pools;
    }

    private PoolRuntime continueOrReplace(DaemonConfig file, PoolConfig pool, PoolRuntime current, double nowMs) {
        if (current != null && current.fits(file, pool)) {
            current.apply(file);
            return current;
        }
        long seed = random.nextLong();
        LearnedStateSource restored = subsystems.get(LearnedStateSource.class);
        LearnedStateProvider learned = null;
        if (current != null) {
            learned = LearnedStates.providerFrom(file, pool, current, nowMs);
        } else if (restored != null) {
            learned = restored.learnedStateFor(file, pool);
        }
        PoolContext poolContext = new PoolContext(core, serverStarts.budget(), serverStarts.times(), subsystems);
        return new PoolRuntime(poolContext, file, pool, seed, learned);
    }
}
