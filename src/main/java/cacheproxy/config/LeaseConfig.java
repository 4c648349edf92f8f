package cacheproxy.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * {@code [[duty]]}: a named lease, held by one proxy of the fleet at a time.
 *
 * @param leaseMs how long it is valid without renewal
 * @param voters how many peers vote on it, an odd number
 */
public record LeaseConfig(String name, double leaseMs, int voters) {
    private static final int MAX_LEASES = 1000;
    private static final double DEFAULT_LEASE_MS = 2000;

    /** Reads all leases, in the file's order. */
    static List<LeaseConfig> readAll(List<TomlTableReader> tables, double longestLeaseMs) {
        List<LeaseConfig> leases = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlTableReader table : tables) {
            String name = FleetNames.uniqueName(table, names, "duty");
            if (FleetNames.isReserved(name)) {
                table.error(
                        "name",
                        "names that begin with " + FleetNames.HEALTH_CHECK_PREFIX + " or " + FleetNames.WATCH_PREFIX
                                + " or " + FleetNames.QUOTA_PREFIX + " are the program's own; choose another");
            }
            double leaseMs = FleetNames.leaseMs(table, longestLeaseMs, DEFAULT_LEASE_MS);
            leases.add(new LeaseConfig(name, leaseMs, FleetNames.voters(table)));
            table.rejectUnknownKeys();
        }
        if (leases.size() > MAX_LEASES) {
            tables.get(0).error("name", leases.size() + " duties; at most " + MAX_LEASES);
        }
        return leases;
    }
}
