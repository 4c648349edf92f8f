package cacheproxy.simulation;

import cacheproxy.placement.CarpPlacement;
import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import java.util.ArrayList;
import java.util.List;

/** Injects the faults of a {@link FleetSimulation}. Servers are numbered from 1 at the start. */
final class FleetFaults {
    private static final double DRAIN_MS = 5000;
    private static final int RELEASE_WAVES = 2;
    private static final double RELEASE_WAVE_INTERVAL_MS = 4000;
    private static final double ZONE_LOST_MS = 5000;
    private static final double RESTART_INTERVAL_MS = 1573;
    /** From the beginning of a server's drain to the end of its process. */
    private static final double RESTART_DRAIN_MS = 3500;
    /** From the beginning of a server's drain until its next process is ready. */
    private static final double RESTART_READY_MS = 7470;

    private static final double SILENCE_AFTER_MS = 6000;
    private static final double SILENCE_MS = 5000;
    private static final double MIN_PROXY_RESTART_MS = 1500;
    private static final double PROXY_RESTART_RANGE_MS = 500;
    /** When all proxies have been told of the new servers. */
    private static final double HOT_KEY_AFTER_MS = 3500;
    /** As the proxies that were killed come back. */
    private static final double HOT_KEY_AFTER_RESTARTS_MS = 1700;
    /** What the id of a replacement is above that of the server that it replaces. */
    private static final int REPLACEMENT_ID_OFFSET = 100_000;
    /** No client asks for keys from here on otherwise. */
    private static final long FIRST_HOT_KEY = 1_000_000;
    /** The hot key is among so many by the number that a warming-up server's keys may be chosen by. */
    private static final double MAX_HOT_KEY_LOT = 0.01;

    private final FleetSimulation fleet;
    private final FleetSimulationConfig config;

    FleetFaults(FleetSimulation fleet, FleetSimulationConfig config) {
        this.fleet = fleet;
        this.config = config;
    }

    /** Begins all configured faults now. */
    void begin() {
        int serverCount = config.servers();
        if (config.faults().contains(SimulatedFault.RELEASE)) {
            release(serverCount * 3 / 10);
        }
        if (config.faults().contains(SimulatedFault.ZONE_LOST)) {
            isolateLastQuarter();
        }
        restartInGroups(config.rollingRestart());
        boolean hotKey = config.faults().contains(SimulatedFault.HOT_KEY_AT_A_COLD_NODE);
        boolean proxiesKilled = config.faults().contains(SimulatedFault.PROXIES_KILLED);
        if (proxiesKilled) {
            restartProxies(config.proxies() * 6 / 10);
        }
        if (proxiesKilled || hotKey) {
            replace(serverCount * 6 / 10 + 1, serverCount * 7 / 10);
        }
        if (hotKey) {
            double delayMs = proxiesKilled ? HOT_KEY_AFTER_RESTARTS_MS : HOT_KEY_AFTER_MS;
            fleet.clock().after(delayMs, () -> fleet.workload().setHotKey(keyOfWarmingUpServer()));
        }
    }

    /** Restarts servers in groups, those of the lowest ids first, and silences those of the highest ids. */
    private void restartInGroups(FleetSimulationConfig.RollingRestart rollingRestart) {
        for (int group = 0; group < rollingRestart.groups(); group++) {
            int fromId = 1 + group * rollingRestart.groupSize();
            int toId = Math.min(fromId + rollingRestart.groupSize(), config.servers() + 1);
            fleet.clock().after(group * RESTART_INTERVAL_MS, () -> restart(serversOfIds(fromId, toId)));
        }
        int firstSilentId = config.servers() - rollingRestart.silentServers() + 1;
        List<SimulatedServer> silent = serversOfIds(firstSilentId, config.servers() + 1);
        fleet.clock().after(SILENCE_AFTER_MS, () -> silent.forEach(server -> server.isolated = true));
        fleet.clock().after(SILENCE_AFTER_MS + SILENCE_MS, () -> silent.forEach(server -> server.isolated = false));
    }

    private List<SimulatedServer> serversOfIds(int fromId, int toId) {
        return fleet.servers().stream()
                .filter(server -> server.id >= fromId && server.id < toId)
                .toList();
    }

    /** Restarts servers under their ids: they drain, their processes end, and their next processes start cold. */
    private void restart(List<SimulatedServer> servers) {
        servers.forEach(server -> server.draining = true);
        fleet.publish(servers);
        fleet.clock().after(RESTART_DRAIN_MS, () -> servers.forEach(server -> server.ended = true));
        fleet.clock().after(RESTART_READY_MS, () -> {
            servers.forEach(server -> server.restart(fleet.clock().nowMs()));
            fleet.publish(servers);
        });
    }

    private void release(int serversPerWave) {
        for (int wave = 0; wave < RELEASE_WAVES; wave++) {
            int from = 1 + wave * config.servers() * 3 / 10;
            fleet.clock().after(wave * RELEASE_WAVE_INTERVAL_MS, () -> replace(from, from + serversPerWave));
        }
    }

    private void isolateLastQuarter() {
        int serverCount = config.servers();
        List<SimulatedServer> lost = fleet.servers().stream()
                .filter(server -> server.id > serverCount * 3 / 4 && server.id <= serverCount)
                .toList();
        lost.forEach(server -> server.isolated = true);
        fleet.clock().after(ZONE_LOST_MS, () -> {
            lost.forEach(server -> server.restart(fleet.clock().nowMs()));
            fleet.publish(lost);
        });
    }

    private void restartProxies(int count) {
        for (int i = 0; i < count; i++) {
            int index = i;
            fleet.proxy(index).kill();
            double delayMs = MIN_PROXY_RESTART_MS + fleet.random().nextDouble() * PROXY_RESTART_RANGE_MS;
            fleet.clock().after(delayMs, () -> fleet.startProxy(index));
        }
    }

    /** Replaces the servers of a range of ids by new ones; the old ones drain, and end after that. */
    private void replace(int fromId, int toId) {
        List<SimulatedServer> changed = new ArrayList<>();
        for (int id = fromId; id < toId; id++) {
            SimulatedServer replacement = new SimulatedServer(
                    id + REPLACEMENT_ID_OFFSET, config.zones(), fleet.clock().nowMs(), config.settings(0));
            fleet.addServer(replacement);
            changed.add(replacement);
            SimulatedServer old = fleet.server(id);
            if (old != null) {
                old.draining = true;
                changed.add(old);
                fleet.clock().after(DRAIN_MS, () -> old.ended = true);
            }
        }
        fleet.publish(changed);
    }

    /**
     * Returns a key that belongs to a server that is warming up, and whose lot, a number that is the same at every
     * proxy, is low: a policy that chose such a server's keys by this number would send it the key from all proxies at
     * once. 0 if no server is warming up.
     */
    private long keyOfWarmingUpServer() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (SimulatedServer server : fleet.servers()) {
            if (!server.draining && !server.ended) {
                endpoints.add(server.endpoint());
            }
        }
        if (endpoints.stream().noneMatch(endpoint -> endpoint.startedMs() > 0)) {
            return 0;
        }
        CarpPlacement placement = new CarpPlacement(endpoints);
        int[] top = new int[1];
        for (long key = FIRST_HOT_KEY; ; key++) {
            int keyHash = CarpHash.keyHash(key);
            placement.rank(key, keyHash, 1, top);
            Endpoint owner = endpoints.get(top[0]);
            if (owner.startedMs() > 0 && lot(keyHash, CarpHash.memberHash(owner.id())) < MAX_HOT_KEY_LOT) {
                return key;
            }
        }
    }

    /** A number from 0 to 1 that depends on both hashes alone: the finalizer of MurmurHash3 over their sum. */
    private static double lot(int keyHash, int memberHash) {
        int hash = keyHash * 0x9E3779B1 + memberHash;
        hash = (hash ^ (hash >>> 16)) * 0x85EBCA6B;
        hash = (hash ^ (hash >>> 13)) * 0xC2B2AE35;
        return Integer.toUnsignedLong(hash ^ (hash >>> 16)) / 4294967296.0;
    }
}
