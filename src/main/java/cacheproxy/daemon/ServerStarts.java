package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.config.ServerConfig;
import cacheproxy.limits.ServerStartTimes;
import cacheproxy.limits.SlowStartBudget;
import cacheproxy.limits.SlowStartConfig;
import cacheproxy.snapshot.state.ServerStart;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The start times of the configured servers, and the budget of requests that all pools together send to servers that
 * are warming up. On the event loop only.
 */
final class ServerStarts {
    private final ServerStartTimes times = new ServerStartTimes();
    private SlowStartBudget budget;

    /** Returns the start times known so far. */
    ServerStartTimes times() {
        return times;
    }

    /** Returns the budget of the configuration that was applied last. */
    SlowStartBudget budget() {
        return budget;
    }

    /**
     * Applies a configuration. Servers that the previous configuration lacked are regarded as just started, unless they
     * are configured as warm.
     *
     * @param previous null at the start of the daemon
     */
    void apply(DaemonConfig file, DaemonConfig previous, double nowMs) {
        applyBudget(file);
        Set<Integer> present = serverIds(file, server -> !server.down());
        Set<Integer> warm = serverIds(file, ServerConfig::warm);
        if (file.site().warmUpMs() > 0) {
            addUnusedBackups(file, warm);
        }
        if (previous != null) {
            Set<Integer> known = serverIds(previous, server -> !server.down());
            present.stream()
                    .filter(server -> !known.contains(server) && !warm.contains(server))
                    .forEach(server -> times.added(server, nowMs));
        }
        times.retainAll(present);
    }

    private void applyBudget(DaemonConfig file) {
        SlowStartConfig config = new SlowStartConfig(
                file.site().startCapacity(),
                file.site().warmUpMs(),
                file.site().fallMs(),
                file.site().proxyCount(),
                file.limits().unknownCapacity());
        if (budget == null) {
            budget = new SlowStartBudget(config);
        } else {
            budget.setConfig(config);
        }
        for (PoolConfig pool : file.pools().values()) {
            PoolSettings.allServers(pool).forEach(server -> budget.setServerRate(server.id(), server.capacity()));
        }
    }

    /** Registers backups that no pool uses as a primary server: they have nothing cached yet. */
    private void addUnusedBackups(DaemonConfig file, Set<Integer> warm) {
        Set<Integer> primaries = file.pools().values().stream()
                .flatMap(pool -> pool.servers().stream())
                .filter(server -> !server.backup())
                .map(ServerConfig::id)
                .collect(Collectors.toSet());
        for (PoolConfig pool : file.pools().values()) {
            pool.servers().stream()
                    .filter(server -> server.backup() && !server.down())
                    .map(ServerConfig::id)
                    .filter(id -> !warm.contains(id) && !primaries.contains(id))
                    .forEach(times::addedUnused);
        }
    }

    private static Set<Integer> serverIds(DaemonConfig file, Predicate<ServerConfig> condition) {
        Set<Integer> ids = new HashSet<>();
        for (PoolConfig pool : file.pools().values()) {
            PoolSettings.allServers(pool).stream().filter(condition).forEach(server -> ids.add(server.id()));
        }
        return ids;
    }

    /** Returns the start times to be saved, of servers that have an address. */
    List<ServerStart> snapshot(Map<Integer, String> addresses) {
        List<ServerStart> starts = new ArrayList<>();
        for (int server : times.knownServers()) {
            double startMs = times.startMs(server) == ServerStartTimes.NOT_YET_USED_MS ? 0 : times.startMs(server);
            if (addresses.containsKey(server) && (startMs > 0 || times.isDown(server))) {
                starts.add(new ServerStart(server, addresses.get(server), startMs, times.isDown(server)));
            }
        }
        return starts;
    }
}
