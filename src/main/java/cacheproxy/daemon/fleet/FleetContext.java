package cacheproxy.daemon.fleet;

import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.daemon.PoolRuntime;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The access of the fleet's protocols to the rest of the daemon.
 *
 * @param core the event loop
 * @param link the connection to the other proxies
 * @param configuration the current configuration; null before the first one
 */
record FleetContext(EventLoopContext core, PeerLink link, Supplier<ConfigSnapshot> configuration) {
    /** Returns the event loop's monotonic time. */
    double nowMs() {
        return core.nowMs();
    }

    /** Runs a task on the event loop after the current call has returned. */
    void execute(Runnable task) {
        core.loop().execute(task);
    }

    /** Returns whether a configuration is in use yet. */
    boolean isConfigured() {
        return configuration.get() != null;
    }

    /** Returns the pools in use; empty before the first configuration. */
    Collection<PoolRuntime> pools() {
        ConfigSnapshot current = configuration.get();
        return current == null ? List.of() : current.pools.values();
    }

    /** Returns the pool of this name, if it is in use. */
    Optional<PoolRuntime> pool(String name) {
        ConfigSnapshot current = configuration.get();
        return Optional.ofNullable(current == null ? null : current.pools.get(name));
    }
}
