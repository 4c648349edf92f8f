package cacheproxy.config;

import cacheproxy.policy.ServiceClass;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * {@code [fleet.limits]} and {@code [[fleet.limit]]}: the quotas that all proxies of a fleet share.
 *
 * @param grantTtlMs how long a grant can be used, the same at all proxies
 * @param leaseMs duration of the allocators' leases
 * @param leaseCount number of leases over which quotas are distributed, the same at all proxies
 * @param maxHoldMs longest time that a request can be in progress
 */
public record QuotasConfig(
        double grantTtlMs, double leaseMs, int voters, int leaseCount, double maxHoldMs, List<QuotaConfig> quotas) {
    private static final int MAX_QUOTAS = 1000;
    private static final double DEFAULT_LEASE_MS = 1000;
    /** A request is answered at most this long after its deadline. */
    private static final double MAX_ANSWER_DELAY_MS = 250;

    /** Copies the list, so that the record is immutable. */
    public QuotasConfig {
        quotas = List.copyOf(quotas);
    }

    /** Returns the names of the allocators' leases; empty if there are no quotas. */
    public List<String> leaseNames() {
        return quotas.isEmpty() ? List.of() : FleetNames.numberedNames(FleetNames.QUOTA_PREFIX, leaseCount);
    }

    /** Reads the quotas of a fleet; if there is no {@code [fleet.limits]}, its defaults apply. */
    static QuotasConfig read(TomlTableReader fleet, ConfigReferences references, double longestLeaseMs) {
        TomlTableReader table = fleet.tableOrEmpty("limits");
        double grantTtlMs = table.number("grant_ms", 1000, 100, 60_000);
        double leaseMs = FleetNames.leaseMs(table, longestLeaseMs, DEFAULT_LEASE_MS);
        int voters = FleetNames.voters(table);
        int leaseCount = table.integer("shares", 4, 1, 64);
        table.rejectUnknownKeys();
        List<QuotaConfig> quotas = readQuotas(fleet, references);
        double longestDeadlineMs = references.classes().stream()
                .mapToDouble(ServiceClass::deadlineMs)
                .max()
                .orElse(0);
        return new QuotasConfig(
                grantTtlMs, leaseMs, voters, leaseCount, longestDeadlineMs + MAX_ANSWER_DELAY_MS, quotas);
    }

    private static List<QuotaConfig> readQuotas(TomlTableReader fleet, ConfigReferences references) {
        List<TomlTableReader> tables = fleet.tables("limit");
        List<QuotaConfig> quotas = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int count = 0;
        for (TomlTableReader table : tables) {
            QuotaConfig quota = QuotaConfig.read(table, names, references);
            quotas.add(quota);
            count += quota.countForTenants(references.tenants().size());
        }
        if (count > MAX_QUOTAS) {
            tables.get(0).error("name", count + " limits, counted for each tenant separately; at most " + MAX_QUOTAS);
        }
        return quotas;
    }
}
