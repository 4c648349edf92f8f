package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.ListenerConfig;
import cacheproxy.config.SiblingsConfig;
import cacheproxy.daemon.fleet.FleetQuotas;
import cacheproxy.daemon.hooks.HookExecutor;
import cacheproxy.daemon.hooks.HookSubsystem;
import cacheproxy.hooks.HookRules;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.routes.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The running state built from one configuration file. A request uses the snapshot that was current when it arrived. On
 * the event loop only.
 */
public final class ConfigSnapshot {
    /** The configuration file. */
    public final DaemonConfig file;
    /** Cached here because each request reads it. */
    final SiblingsConfig siblings;

    /** The pools by name, in the order of the configuration file. */
    public final Map<String, PoolRuntime> pools;

    final RequestValidator requestValidator;
    /** Validates the orders of hooks. */
    public final HookRules hookRules;
    /** Null where this proxy belongs to no fleet. */
    final FleetQuotas quotas;
    /** The hooks of each listener, in order. */
    final Map<String, List<HookExecutor>> hooksOfListener = new HashMap<>();

    private final List<HookExecutor> executors;
    private final Map<String, Route> routesByName = new HashMap<>();
    /** Number of requests that arrived under this configuration and are not yet concluded. */
    public int pendingRequests;

    private final IdentityHashMap<Route, List<PoolRuntime>> chains = new IdentityHashMap<>();
    private boolean concluding;

    ConfigSnapshot(
            DaemonConfig file, Map<String, PoolRuntime> pools, RequestValidator validator, Subsystems subsystems) {
        this.file = file;
        FleetCoordination fleet = subsystems.get(FleetCoordination.class);
        quotas = fleet == null ? null : fleet.quotas();
        siblings = SiblingsConfig.of(file);
        this.pools = pools;
        this.requestValidator = validator;
        HookSubsystem hookSubsystem = subsystems.get(HookSubsystem.class);
        executors = hookSubsystem == null ? List.of() : hookSubsystem.executors();
        file.routes().routes().forEach(route -> routesByName.put(route.name(), route));
        hookRules = new HookRules(
                file.classes(),
                file.tenants().stream().map(tenant -> tenant.name()).toList(),
                routesByName.keySet());
        for (ListenerConfig listener : file.listeners()) {
            List<HookExecutor> listenerHooks = executors.stream()
                    .filter(executor -> executor.config.listeners().isEmpty()
                            || executor.config.listeners().contains(listener.name()))
                    .toList();
            if (!listenerHooks.isEmpty()) {
                hooksOfListener.put(listener.name(), listenerHooks);
            }
        }
        for (Route route : file.routes().routes()) {
            if (route.action() instanceof Route.ToPools to) {
                List<PoolRuntime> chain = new ArrayList<>();
                file.fallbackChain(to.pools()).forEach(pool -> chain.add(pools.get(pool)));
                chains.put(route, chain);
            }
        }
    }

    /** Returns the pools of a route, in order. */
    List<PoolRuntime> chain(Route route) {
        return chains.get(route);
    }

    /** Concludes all pending requests of the pools, because the process is about to end; no further pool is tried. */
    void concludeRequests() {
        concluding = true;
        pools.values().forEach(pool -> pool.dispatcher.concludeAll());
    }

    /** Returns whether requests of this configuration are concluded without trying a further pool. */
    boolean isConcluding() {
        return concluding;
    }

    /** Stops the hooks of this configuration. Call it once no request uses the configuration any more. */
    void stopHooks() {
        executors.forEach(HookExecutor::stop);
    }

    /** Returns the route of this name; null if there is none. */
    public Route route(String name) {
        return routesByName.get(name);
    }

    /** Returns whether every pool has its endpoint list. */
    boolean allPoolsListed() {
        return pools.values().stream().allMatch(pool -> pool.dispatcher.hasServers());
    }

    /** Returns whether requests of this configuration may use a pool. */
    boolean uses(PoolRuntime pool) {
        return pools.get(pool.name) == pool;
    }

    /** Returns, for each pool in several lines, the servers in their slow start with their budgets. */
    String slowStartSummary() {
        return pools.values().stream()
                .map(pool -> "pool=" + pool.name + " " + pool.dispatcher.slowStartSummary())
                .collect(Collectors.joining("\n"));
    }
}
