package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.PoolConfig;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Configurations and pools that receive no new requests and are kept until the pending requests that use them are
 * concluded. On the event loop only.
 */
final class RetiredConfigs {
    /**
     * Fraction of the drain grace in which pending requests may still be sent to servers that the new configuration
     * lacks.
     */
    private static final double GRACE_FRACTION = 0.5;

    private final List<ConfigSnapshot> configs = new ArrayList<>();
    private final List<RetiredPool> pools = new ArrayList<>();

    private static final class RetiredPool {
        final PoolRuntime pool;
        final double graceEndsMs;
        boolean restricted;

        RetiredPool(PoolRuntime pool, double graceEndsMs) {
            this.pool = pool;
            this.graceEndsMs = graceEndsMs;
        }
    }

    /** Retires a configuration, and those of its pools that its successor does not continue. */
    void add(ConfigSnapshot previous, ConfigSnapshot next, double nowMs) {
        configs.add(previous);
        double graceEndsMs = nowMs + next.file.site().drainGraceMs() * GRACE_FRACTION;
        for (PoolRuntime pool : previous.pools.values()) {
            if (!next.uses(pool)) {
                pools.add(new RetiredPool(pool, graceEndsMs));
            }
        }
    }

    /**
     * Stops configurations and pools that no pending request uses, and restricts pools whose grace has ended to the
     * servers that are still configured.
     */
    void collect(DaemonConfig current, double nowMs) {
        configs.removeIf(config -> {
            if (config.pendingRequests == 0) {
                config.stopHooks();
            }
            return config.pendingRequests == 0;
        });
        if (!pools.isEmpty()) {
            Set<Integer> ready = readyServers(current);
            pools.removeIf(retired -> endIfUnused(retired, ready, nowMs));
        }
    }

    private boolean endIfUnused(RetiredPool retired, Set<Integer> ready, double nowMs) {
        boolean reachable = configs.stream().anyMatch(config -> config.uses(retired.pool));
        if (retired.pool.dispatcher.pendingRequests() == 0 && !reachable) {
            retired.pool.dispatcher.stop();
            return true;
        }
        if (!retired.restricted && nowMs >= retired.graceEndsMs) {
            retired.restricted = true;
            retired.pool.restrictTo(ready::contains);
        }
        return false;
    }

    private static Set<Integer> readyServers(DaemonConfig file) {
        Set<Integer> ready = new HashSet<>();
        for (PoolConfig pool : file.pools().values()) {
            PoolSettings.allServers(pool).stream()
                    .filter(server -> !server.down() && !server.drain())
                    .forEach(server -> ready.add(server.id()));
        }
        return ready;
    }

    /** Concludes all requests that still use a retired configuration, because the process is about to end. */
    void concludeRequests() {
        configs.forEach(ConfigSnapshot::concludeRequests);
    }

    /** Returns the number of requests that still use a retired configuration. */
    int pendingRequests() {
        return configs.stream().mapToInt(config -> config.pendingRequests).sum();
    }

    /** Returns the number of pools that are kept for pending requests. */
    int poolCount() {
        return pools.size();
    }

    /** Stops the hooks of all retired configurations at once. */
    void stopHooks() {
        configs.forEach(ConfigSnapshot::stopHooks);
    }
}
