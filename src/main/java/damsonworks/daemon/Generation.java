package damsonworks.daemon;

import damsonworks.config.DaemonFile;
import damsonworks.proxy.Intake;
import damsonworks.routes.Route;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** What one file has made of the daemon. A request keeps to that under which it came. */
final class Generation {
    final DaemonFile file;
    final Map<String, PoolRunner> pools;
    final Intake intake;
    /** Requests in hand that came under it. */
    int inHand;
    private final Map<Route, List<PoolRunner>> chains = new IdentityHashMap<>();

    Generation(DaemonFile file, Map<String, PoolRunner> pools, Intake intake) {
        this.file = file;
        this.pools = pools;
        this.intake = intake;
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

    /** Whether a request may still come to this pool under this file. */
    boolean uses(PoolRunner pool) {
        return pools.get(pool.name) == pool;
    }
}
