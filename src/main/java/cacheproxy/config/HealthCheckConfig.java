package cacheproxy.config;

/**
 * {@code [fleet.probe]}: one proxy of the fleet checks an ejected server for all.
 *
 * @param byClientRequests whether clients' requests serve as health checks, where servers accept no test commands
 * @param leaseCount leases over which servers are spread, the same at all proxies
 * @param resultTimeoutMs how long the others wait for a result
 * @param resultTtlMs for how long a result is reported again
 */
public record HealthCheckConfig(
        boolean byClientRequests,
        double leaseMs,
        int voters,
        int leaseCount,
        double resultTimeoutMs,
        double resultTtlMs) {
    private static final double DEFAULT_LEASE_MS = 1000;

    /** Null if the fleet has no such section. */
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
