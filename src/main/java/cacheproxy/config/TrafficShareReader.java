package cacheproxy.config;

import cacheproxy.routes.KeyShare;
import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.SplitShare;
import cacheproxy.routes.TrafficShare;

/** Reads the {@code share} of a route: the fraction of the keys that the route matches. */
final class TrafficShareReader {
    private static final int STEPS_PER_PERCENT = 100;

    private TrafficShareReader() {}

    /** Reads the share; returns null if the route has none, or after an error. */
    static TrafficShare read(TomlTableReader route) {
        TomlTableReader table = route.table("share");
        if (table == null) {
            return null;
        }
        return table.has("by") || table.has("from_hash") || table.has("to_hash")
                ? readSplitShare(table)
                : readKeyShare(table);
    }

    /** Reads a share by nginx's hash, as in {@code split_clients}. */
    private static TrafficShare readSplitShare(TomlTableReader table) {
        PlacementTemplate template = PlacementTemplates.read(table, "by", 0);
        long from = (long) table.number("from_hash", 0, 0, SplitShare.HASH_RANGE);
        long to = (long) table.number("to_hash", SplitShare.HASH_RANGE, 0, SplitShare.HASH_RANGE);
        table.rejectUnknownKeys();
        if (from >= to) {
            table.error("to_hash", "the share is empty; from_hash must be less than to_hash");
            return null;
        }
        return new SplitShare(template == null ? PlacementTemplate.KEY : template, from, to);
    }

    private static TrafficShare readKeyShare(TomlTableReader table) {
        long from = Math.round(table.number("from_percent", 0, 0, 100) * STEPS_PER_PERCENT);
        long to = Math.round(table.number("to_percent", 100, 0, 100) * STEPS_PER_PERCENT);
        String salt = table.text("salt", "");
        table.rejectUnknownKeys();
        if (from >= to) {
            table.error("to_percent", "the share is empty; from_percent must be less than to_percent");
            return null;
        }
        return new KeyShare(salt, (int) from, (int) to);
    }
}
