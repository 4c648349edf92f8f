package cacheproxy.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * {@code [pool.discovery]}: the service that supplies a pool's endpoint list.
 *
 * @param kinds the kinds of machines in the endpoint list
 * @param originKind the kind of machine that is the origin; null if there is none
 */
public record DiscoveryConfig(InetSocketAddress address, List<String> zones, List<String> kinds, String originKind) {
    /** Reads the section of a pool; returns null if it has none. */
    static DiscoveryConfig read(TomlTableReader pool) {
        TomlTableReader table = pool.table("discovery");
        if (table == null) {
            return null;
        }
        List<String> kinds = table.texts("kinds");
        String originKind = table.text("origin_kind", null);
        if (kinds.isEmpty()) {
            table.error("kinds", "discovery needs kinds, the kinds of machines in its endpoint list");
        }
        if (originKind != null && !kinds.contains(originKind)) {
            table.error(
                    "origin_kind", "origin_kind '" + originKind + "' is not one of kinds: " + String.join(", ", kinds));
        }
        List<String> zones = table.texts("zones");
        if (zones.isEmpty()) {
            table.error("zones", "discovery needs zones, the sites in its endpoint list");
        }
        DiscoveryConfig discovery =
                new DiscoveryConfig(ConfigValues.serverAddress(table, "address"), zones, kinds, originKind);
        table.rejectUnknownKeys();
        return discovery;
    }
}
