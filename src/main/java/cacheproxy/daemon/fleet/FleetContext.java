package cacheproxy.daemon.fleet;

import cacheproxy.daemon.ConfigSnapshot;
import cacheproxy.daemon.PoolRuntime;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * What the protocols of a fleet reach of the daemon.
 *
 * @param core the event loop
 * @param link the other proxies
 * @param configuration the configuration in use; null before the first one is
 */
record FleetContext(EventLoopContext core, PeerLink link, Supplier<ConfigSnapshot> configuration) {
    /** The event loop's monotonic time. */
    double nowMs() {
        return core.nowMs();
    }

    /** Runs a task on the event loop once the present call has returned. */
    void execute(Runnable task) {
        core.loop().execute(task);
    }

    /** Whether a configuration is in use yet. */
    boolean isConfigured() {
        return configuration.get() != null;
    }

    /** The pools in use; none before the first configuration is. */
    Collection<PoolRuntime> pools() {
        ConfigSnapshot current = configuration.get();
        return current == null ? List.of() : current.pools.values();
    }

    /** The pool of this name, if it is in use. */
    Optional<PoolRuntime> pool(String name) {
        ConfigSnapshot current = configuration.get();
        return Optional.ofNullable(current == null ? null : current.pools.get(name));
    }
}
