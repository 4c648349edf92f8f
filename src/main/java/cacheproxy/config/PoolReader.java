package cacheproxy.config;

import cacheproxy.placement.NginxConsistentPlacement;
import cacheproxy.placement.PlacementRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the pools ({@code [[pool]]}) with their servers, and checks the fallbacks of pools. */
final class PoolReader {
    private final Map<String, PoolConfig> pools = new LinkedHashMap<>();
    private final Map<String, TomlTableReader> tables = new HashMap<>();
    private final ServerReader serverReader = new ServerReader();

    private PoolReader() {}

    /** Reads all pools of the file; fallbacks are still unchecked. */
    static PoolReader read(TomlTableReader root) {
        PoolReader reader = new PoolReader();
        root.tables("pool").forEach(reader::readPool);
        return reader;
    }

    /** Returns the pools by name, in the order of the file. */
    Map<String, PoolConfig> pools() {
        return pools;
    }

    /** Returns the tables of the pools by pool name. */
    Map<String, TomlTableReader> tables() {
        return tables;
    }

    /** Returns the names of all servers by server id. */
    Map<Integer, String> serverNames() {
        return serverReader.namesById();
    }

    private void readPool(TomlTableReader table) {
        String name = ConfigValues.uniqueName(table, new HashSet<>(pools.keySet()), "pool");
        List<ServerConfig> servers = new ArrayList<>();
        Set<String> serverNames = new HashSet<>();
        for (TomlTableReader server : table.tables("server")) {
            servers.add(serverReader.read(server, serverNames, "cache"));
        }
        ServerConfig origin = readOrigin(table.table("origin"), serverNames);
        DiscoveryConfig discovery = DiscoveryConfig.read(table);
        checkServers(table, name, servers, origin, discovery);
        String placement = table.oneOf(
                "placement",
                PlacementRegistry.CARP,
                PlacementRegistry.CARP,
                PlacementRegistry.NGINX_HASH,
                PlacementRegistry.NGINX_CONSISTENT);
        if (!placement.equals(PlacementRegistry.CARP)) {
            checkNginxPlacement(table, placement, servers, discovery);
        }
        PoolConfig pool = new PoolConfig(
                name,
                servers,
                origin,
                discovery,
                placement,
                PlacementTemplates.read(table, "place_by", 0),
                table.integer("connections", 4, 1, 1000),
                table.integer("origin_connections", 16, 1, 1000),
                table.integer("streams", 64, 1, 10_000),
                table.integer("in_hand", 10_000, 1, 1_000_000),
                table.number("per_second", 0, 0.1, 1e9),
                table.number("retry_share", 0.2, 0, 10),
                table.number("retries_always", 5, 0, 1e6),
                table.oneOf("nodes", "platform", "platform", "plain").equals("plain"),
                table.text("dedup_group", null),
                table.text("fallback", null),
                table.texts("siblings"));
        pools.put(name, pool);
        tables.put(name, table);
        table.rejectUnknownKeys();
    }

    private ServerConfig readOrigin(TomlTableReader table, Set<String> serverNames) {
        if (table == null) {
            return null;
        }
        ServerConfig origin = serverReader.read(table, serverNames, "origin");
        if (origin.backup() || origin.down() || origin.drain()) {
            table.error("dial", "an origin can't be backup, down or drain; leave the key out");
        }
        return origin;
    }

    private static void checkServers(
            TomlTableReader table,
            String pool,
            List<ServerConfig> servers,
            ServerConfig origin,
            DiscoveryConfig discovery) {
        if (discovery != null) {
            if (!servers.isEmpty() || origin != null) {
                table.error("discovery", "pool " + pool + " has both discovery and servers; use one of them");
            }
        } else if (servers.isEmpty()) {
            table.error("name", "pool " + pool + " has no server; write [[pool.server]] or discovery");
        } else if (servers.stream().allMatch(server -> server.down() || server.drain())) {
            table.error("name", "every server of pool " + pool + " is down or drains; at least one must be up");
        } else if (servers.stream().allMatch(ServerConfig::backup)) {
            table.error("name", "every server of pool " + pool + " is a backup; at least one must not be");
        }
    }

    /**
     * Reports settings that nginx's placements do not support: these depend on the order of servers, and their weights
     * are whole numbers.
     */
    private static void checkNginxPlacement(
            TomlTableReader table, String placement, List<ServerConfig> servers, DiscoveryConfig discovery) {
        if (discovery != null) {
            table.error(
                    "placement",
                    placement + " depends on the order of servers in the file, which discovery does not "
                            + "provide; allowed: carp");
        }
        double sum = 0;
        for (ServerConfig server : servers) {
            sum += server.weight();
            if (server.weight() < 1 || server.weight() != Math.rint(server.weight())) {
                table.error(
                        "placement",
                        "server " + server.name() + " has a weight that " + placement
                                + " does not support; use whole numbers from 1");
            }
        }
        if (sum > NginxConsistentPlacement.MAX_WEIGHT_SUM) {
            table.error(
                    "placement",
                    "the weights sum to " + (long) sum + "; at most " + NginxConsistentPlacement.MAX_WEIGHT_SUM
                            + " with " + placement);
        }
    }

    /** Checks that fallbacks name pools and don't form cycles. */
    void checkFallbacks() {
        for (PoolConfig pool : pools.values()) {
            if (pool.fallback() == null) {
                continue;
            }
            TomlTableReader table = tables.get(pool.name());
            if (table.checkReference("fallback", pool.fallback(), pools.keySet(), "pool")) {
                rejectFallbackCycle(pool, table);
            }
        }
    }

    /** Reports a cycle at the line of each pool that is part of it, but not at pools that only lead into it. */
    private void rejectFallbackCycle(PoolConfig start, TomlTableReader table) {
        List<String> path = new ArrayList<>(List.of(start.name()));
        PoolConfig current = start;
        while (current != null && current.fallback() != null) {
            String next = current.fallback();
            boolean visited = path.contains(next);
            path.add(next);
            if (visited) {
                if (next.equals(start.name())) {
                    table.error("fallback", "fallbacks form a cycle: " + String.join(" -> ", path) + "; remove one");
                }
                return;
            }
            current = pools.get(next);
        }
    }
}
