package cacheproxy.config;

/**
 * {@code [fleet.watch]}: one proxy of a zone watches discovery for the zone.
 *
 * @param heartbeatMs time between two heartbeats of the watching proxy
 * @param heartbeatTtlMs how long a heartbeat is valid
 * @param followerPollMs longest time between two polls of a proxy that does not watch
 * @param pollSpreadMs time within which the other proxies poll after a change
 */
public record DelegatedWatchConfig(
        double leaseMs,
        int voters,
        double heartbeatMs,
        double heartbeatTtlMs,
        double followerPollMs,
        double pollSpreadMs) {
    /** A proxy that does not watch polls discovery at least this often. */
    private static final double MAX_POLL_MS = 10_000;

    private static final double DEFAULT_LEASE_MS = 1000;
    /** By default, a heartbeat is valid for this many heartbeat periods, so that the loss of one has no effect. */
    private static final int DEFAULT_TTL_HEARTBEATS = 3;

    /** Reads the section; returns null if the fleet has none. */
    static DelegatedWatchConfig read(TomlTableReader fleet, double longestLeaseMs) {
        TomlTableReader table = fleet.table("watch");
        if (table == null) {
            return null;
        }
        double heartbeatMs = table.number("beat_ms", 1000, 20, MAX_POLL_MS);
        double defaultTtlMs = Math.min(DEFAULT_TTL_HEARTBEATS * heartbeatMs, MAX_POLL_MS);
        double ttlMs = table.number("word_ms", defaultTtlMs, 40, MAX_POLL_MS);
        DelegatedWatchConfig watch = new DelegatedWatchConfig(
                FleetNames.leaseMs(table, longestLeaseMs, DEFAULT_LEASE_MS),
                FleetNames.voters(table),
                heartbeatMs,
                ttlMs,
                table.number("lazy_ms", MAX_POLL_MS, 40, MAX_POLL_MS),
                table.number("gather_ms", 300, 0, 60_000));
        if (ttlMs <= heartbeatMs) {
            table.error(
                    "word_ms",
                    "word_ms is " + ttlMs
                            + " and no longer than beat_ms: each lost heartbeat would make all proxies watch");
        }
        if (watch.followerPollMs < ttlMs) {
            table.error("lazy_ms", "lazy_ms is " + watch.followerPollMs + " and shorter than word_ms, " + ttlMs);
        }
        table.rejectUnknownKeys();
        return watch;
    }
}
