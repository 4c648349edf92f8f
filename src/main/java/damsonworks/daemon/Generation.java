package damsonworks.daemon;

import damsonworks.config.DaemonFile;
import damsonworks.config.SiblingSection;
import damsonworks.hooks.HookRules;
import damsonworks.proxy.Intake;
import damsonworks.routes.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** What one file has made of the daemon. A request keeps to that under which it came. */
final class Generation {
    final DaemonFile file;
    /** Kept here since each request asks. */
    final SiblingSection siblings;
    final Map<String, PoolRunner> pools;
    final Intake intake;
    final HookRules rules;
    /** Null where there are none. */
    final FleetLimits limits;
    /** The hooks of each listener, in order. */
    final Map<String, List<HookRunner>> hooks = new HashMap<>();
    private final List<HookRunner> runners;
    private final Map<String, Route> byName = new HashMap<>();
    /** Requests in hand that came under it. */
    int inHand;
    private final Map<Route, List<PoolRunner>> chains = new IdentityHashMap<>();

    Generation(DaemonFile file, Map<String, PoolRunner> pools, Intake intake, List<HookRunner> runners, FleetLimits limits) {
        this.file = file;
        this.limits = limits;
        siblings = SiblingSection.of(file);
        this.pools = pools;
        this.intake = intake;
        this.runners = runners;
        file.routes().routes().forEach(r -> byName.put(r.name(), r));
        rules = new HookRules(file.classes(), file.tenants().stream().map(t -> t.name()).toList(), byName.keySet());
        for (DaemonFile.Listen l : file.listeners()) {
            List<HookRunner> own = runners.stream().filter(h -> h.spec.listeners().isEmpty()
                    || h.spec.listeners().contains(l.name())).toList();
            if (!own.isEmpty()) {
                hooks.put(l.name(), own);
            }
        }
        for (Route r : file.routes().routes()) {
            if (r.action() instanceof Route.ToPools to) {
                List<PoolRunner> chain = new ArrayList<>();
                file.chain(to.pools()).forEach(p -> chain.add(pools.get(p)));
                chains.put(r, chain);
            }
        }
    }

    /** The pools of a route, in order. */
    List<PoolRunner> chain(Route r) {
        return chains.get(r);
    }

    /** No request will come any more: its hooks end. */
    void end() {
        runners.forEach(HookRunner::stop);
    }

    /** The route of this name. */
    Route route(String name) {
        return byName.get(name);
    }

    /** Whether a request may still come to this pool under this file. */
    boolean uses(PoolRunner pool) {
        return pools.get(pool.name) == pool;
    }
}
