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
    final RequestValidator intake;
    public final HookRules rules;
    /** Null where there are none. */
    final FleetQuotas limits;
    /** The hooks of each listener, in order. */
    final Map<String, List<HookExecutor>> hooks = new HashMap<>();

    private final List<HookExecutor> runners;
    private final Map<String, Route> byName = new HashMap<>();
    /** Requests in hand that came under it. */
    public int inHand;

    private final Map<Route, List<PoolRuntime>> chains = new IdentityHashMap<>();

    ConfigSnapshot(DaemonConfig file, Map<String, PoolRuntime> pools, RequestValidator intake, Subsystems subsystems) {
        this.file = file;
        FleetCoordination fleet = subsystems.get(FleetCoordination.class);
        limits = fleet == null ? null : fleet.quotas();
        siblings = SiblingsConfig.of(file);
        this.pools = pools;
        this.intake = intake;
        HookSubsystem hookSubsystem = subsystems.get(HookSubsystem.class);
        runners = hookSubsystem == null ? List.of() : hookSubsystem.executors();
        file.routes().routes().forEach(r -> byName.put(r.name(), r));
        rules = new HookRules(
                file.classes(), file.tenants().stream().map(t -> t.name()).toList(), byName.keySet());
        for (ListenerConfig l : file.listeners()) {
            List<HookExecutor> own = runners.stream()
                    .filter(h ->
                            h.spec.listeners().isEmpty() || h.spec.listeners().contains(l.name()))
                    .toList();
            if (!own.isEmpty()) {
                hooks.put(l.name(), own);
            }
        }
        for (Route r : file.routes().routes()) {
            if (r.action() instanceof Route.ToPools to) {
                List<PoolRuntime> chain = new ArrayList<>();
                file.fallbackChain(to.pools()).forEach(p -> chain.add(pools.get(p)));
                chains.put(r, chain);
            }
        }
    }

    /** The pools of a route, in order. */
    List<PoolRuntime> chain(Route r) {
        return chains.get(r);
    }

    /** No request will come any more: its hooks end. */
    void end() {
        runners.forEach(HookExecutor::stop);
    }

    /** The route of this name. */
    public Route route(String name) {
        return byName.get(name);
    }

    /** Whether a request may still come to this pool under this file. */
    boolean uses(PoolRuntime pool) {
        return pools.get(pool.name) == pool;
    }
}
