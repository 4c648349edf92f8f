package cacheproxy.config;

/**
 * {@code [fleet.probe]}: one proxy of the fleet checks an ejected server on behalf of all.
 *
 * @param byClientRequests whether clients' requests serve as health checks, for servers that accept no test commands
 * @param leaseCount number of leases over which servers are distributed, the same at all proxies
 * @param resultTimeoutMs how long the other proxies wait for a result
 * @param resultTtlMs how long a result is reported to other proxies without another check
 */
public record HealthCheckConfig(
        boolean byClientRequests,
        double leaseMs,
        int voters,
        int leaseCount,
        double resultTimeoutMs,
        double resultTtlMs) {
    private static final double DEFAULT_LEASE_MS = 1000;

    /** Reads the section; returns null if the fleet has none. */
    static HealthCheckConfig read(TomlTableReader fleet, double longestLeaseMs) {
        TomlTableReader table = fleet.table("probe");
        if (table == null) {
            return null;
        }
        HealthCheckConfig healthCheck = new HealthCheckConfig(
                table.oneOf("by", "tests", "tests", "requests").equals("requests"),
                FleetNames.leaseMs(table, longestLeaseMs, DEFAULT_LEASE_MS),
                FleetNames.voters(table),
                table.integer("shares", 4, 1, 64),
                table.number("patience_ms", 600, 300, 10_000),
                table.number("reuse_ms", 1000, 0, 60_000));
        table.rejectUnknownKeys();
        return healthCheck;
    }
}
