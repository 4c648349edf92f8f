package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.ListenerConfig;
import cacheproxy.config.SiblingsConfig;
import cacheproxy.daemon.fleet.FleetQuotas;
import cacheproxy.daemon.hooks.HookExecutor;
import cacheproxy.daemon.hooks.HookSubsystem;
import cacheproxy.hooks.HookRules;
import cacheproxy.proxy.RequestValidator;
import cacheproxy.routes.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** What one file has made of the daemon. A request keeps to that under which it came. */
public final class ConfigSnapshot {
    public final DaemonConfig file;
    /** Kept here since each request asks. */
    final SiblingsConfig siblings;

    public final Map<String, PoolRuntime> pools;
    final RequestValidator requestValidator;
    public final HookRules hookRules;
    /** Null where there are none. */
    final FleetQuotas quotas;
    /** The hooks of each listener, in order. */
    final Map<String, List<HookExecutor>> hooksOfListener = new HashMap<>();

    private final List<HookExecutor> executors;
    private final Map<String, Route> routesByName = new HashMap<>();
    /** Requests in hand that came under it. */
    public int pendingRequests;

    private final Map<Route, List<PoolRuntime>> chains = new IdentityHashMap<>();

    ConfigSnapshot(DaemonConfig file, Map<String, PoolRuntime> pools, RequestValidator intake, Subsystems subsystems) {
        this.file = file;
        FleetCoordination fleet = subsystems.get(FleetCoordination.class);
        quotas = fleet == null ? null : fleet.quotas();
        siblings = SiblingsConfig.of(file);
        this.pools = pools;
        this.requestValidator = intake;
        HookSubsystem hookSubsystem = subsystems.get(HookSubsystem.class);
        executors = hookSubsystem == null ? List.of() : hookSubsystem.executors();
        file.routes().routes().forEach(route -> routesByName.put(route.name(), route));
        hookRules = new HookRules(
                file.classes(),
                file.tenants().stream().map(tenant -> tenant.name()).toList(),
                routesByName.keySet());
        for (ListenerConfig listener : file.listeners()) {
            List<HookExecutor> own = executors.stream()
                    .filter(executor -> executor.config.listeners().isEmpty()
                            || executor.config.listeners().contains(listener.name()))
                    .toList();
            if (!own.isEmpty()) {
                hooksOfListener.put(listener.name(), own);
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

    /** No request will come any more: its hooks end. */
    void end() {
        executors.forEach(HookExecutor::stop);
    }

    /** The route of this name. */
    public Route route(String name) {
        return routesByName.get(name);
    }

    /** Whether every pool has its endpoint list. */
    boolean allPoolsListed() {
        return pools.values().stream().allMatch(pool -> pool.dispatcher.listed());
    }

    /** Whether a request may still come to this pool under this file. */
    boolean uses(PoolRuntime pool) {
        return pools.get(pool.name) == pool;
    }
}
