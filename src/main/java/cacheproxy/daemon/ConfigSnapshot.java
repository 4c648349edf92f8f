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

/**
 * What one configuration file has made of the daemon; a request keeps the snapshot under which it arrived. On the event
 * loop only.
 */
public final class ConfigSnapshot {
    /** The configuration file. */
    public final DaemonConfig file;
    /** Kept here since each request reads it. */
    final SiblingsConfig siblings;

    /** By name, in the file's order. */
    public final Map<String, PoolRuntime> pools;

    final RequestValidator requestValidator;
    /** Checks what hooks ask for. */
    public final HookRules hookRules;
    /** Null where this proxy belongs to no fleet. */
    final FleetQuotas quotas;
    /** The hooks of each listener, in order. */
    final Map<String, List<HookExecutor>> hooksOfListener = new HashMap<>();

    private final List<HookExecutor> executors;
    private final Map<String, Route> routesByName = new HashMap<>();
    /** Requests that arrived under it and are not concluded. */
    public int pendingRequests;

    private final IdentityHashMap<Route, List<PoolRuntime>> chains = new IdentityHashMap<>();

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

    /** The pools of a route, in order. */
    List<PoolRuntime> chain(Route route) {
        return chains.get(route);
    }

    /** Ends its hooks; no request uses it any more. */
    void stopHooks() {
        executors.forEach(HookExecutor::stop);
    }

    /** The route of this name; null if there is none. */
    public Route route(String name) {
        return routesByName.get(name);
    }

    /** Whether every pool has its endpoint list. */
    boolean allPoolsListed() {
        return pools.values().stream().allMatch(pool -> pool.dispatcher.hasServers());
    }

    /** Returns whether requests of this configuration may use a pool. */
    boolean uses(PoolRuntime pool) {
        return pools.get(pool.name) == pool;
    }
}
