package cacheproxy.daemon;

import cacheproxy.config.Addresses;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.proxy.discovery.ListedServer;
import cacheproxy.proxy.dispatch.LearnedStateProvider;
import cacheproxy.snapshot.state.CurrentServer;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.StateSnapshot;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Conversions between the learned state of pools and the snapshots that carry it to other pools. */
public final class LearnedStates {
    private LearnedStates() {}

    /** Returns the learned state of all pools of a configuration, with at most {@code maxKeys} hot keys per pool. */
    static StateSnapshot export(ConfigSnapshot configuration, ServerStarts starts, double nowMs, int maxKeys) {
        DaemonConfig file = configuration.file;
        Map<String, PoolState> pools = new LinkedHashMap<>();
        configuration.pools.forEach((name, pool) -> pools.put(name, pool.learned(maxKeys)));
        return new StateSnapshot(
                file.site().name(), file.site().proxyIndex(), nowMs, 0, pools, starts.snapshot(addresses(file)));
    }

    /** Returns the learned state of a pool for the pool that replaces it. */
    static LearnedStateProvider providerFrom(DaemonConfig file, PoolConfig pool, PoolRuntime previous, double nowMs) {
        StateSnapshot snapshot = new StateSnapshot(
                file.site().name(),
                file.site().proxyIndex(),
                nowMs,
                0,
                Map.of(pool.name(), previous.learned(Integer.MAX_VALUE)),
                List.of());
        return providerOf(snapshot, 1, file, pool);
    }

    /**
     * Returns the state of a snapshot for a pool that starts.
     *
     * @param trust weight of the restored values, 0 to 1
     */
    public static LearnedStateProvider providerOf(
            StateSnapshot snapshot, double trust, DaemonConfig file, PoolConfig pool) {
        String keyScheme = PoolSettings.keyScheme(file, pool);
        return (nowMs, servers) -> {
            List<CurrentServer> present = new ArrayList<>();
            for (ListedServer server : servers) {
                present.add(new CurrentServer(
                        server.endpoint().id(),
                        Addresses.text(server.address()),
                        server.endpoint().startedMs()));
            }
            return snapshot.restore(pool.name(), keyScheme, nowMs, trust, present);
        };
    }

    /** Returns the addresses of the servers that a configuration names, by server id. */
    public static Map<Integer, String> addresses(DaemonConfig file) {
        Map<Integer, String> addresses = new HashMap<>();
        for (PoolConfig pool : file.pools().values()) {
            PoolSettings.allServers(pool).stream()
                    .filter(server -> server.address() != null)
                    .forEach(server -> addresses.put(server.id(), Addresses.text(server.address())));
        }
        return addresses;
    }
}
