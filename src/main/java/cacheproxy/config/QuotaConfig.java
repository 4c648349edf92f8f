package cacheproxy.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * {@code [[fleet.limit]]}: one quota of the whole fleet, on a rate or on requests in progress.
 *
 * @param pool the pool that it bounds; null for all together
 * @param tenant the tenant that it bounds; null for all together, {@code *} for each by itself
 * @param serviceClass the class that it bounds; null for all together
 * @param perSecond requests a second; 0 if it bounds requests in progress
 * @param burst requests that may be saved up, over the whole fleet
 * @param maxInFlight requests in progress; 0 if it bounds a rate
 * @param whenIsolated what an isolated proxy may spend: {@code share}, {@code last} or {@code none}
 * @param shareFraction the part of the quota that proxies own without a grant, 0 to 1
 */
public record QuotaConfig(
        String name,
        String pool,
        String tenant,
        String serviceClass,
        double perSecond,
        double burst,
        int maxInFlight,
        String whenIsolated,
        double shareFraction) {
    /** The tenant that stands for each tenant by itself. */
    private static final String EACH_TENANT = "*";

    private static final double MAX_PER_SECOND = 1e7;

    /** What it bounds, for operators. */
    public String scope() {
        List<String> parts = new ArrayList<>();
        if (pool != null) {
            parts.add("pool " + pool);
        }
        if (tenant != null) {
            parts.add("tenant " + tenant);
        }
        if (serviceClass != null) {
            parts.add("class " + serviceClass);
        }
        return parts.isEmpty() ? "all" : String.join(", ", parts);
    }

    /** How many quotas it is when each tenant's own is counted. */
    int countForTenants(int tenantCount) {
        return EACH_TENANT.equals(tenant) ? Math.max(1, tenantCount) : 1;
    }

    /** Reads one quota and adds its name to those taken. */
    static QuotaConfig read(TomlTableReader table, Set<String> names, ConfigReferences references) {
        String name = FleetNames.uniqueName(table, names, "limit");
        String pool = table.reference("pool", references.pools().keySet(), "pool");
        String tenant = table.text("tenant", null);
        if (!EACH_TENANT.equals(tenant)) {
            tenant = table.reference("tenant", references.tenantNames(), "tenant");
        }
        String serviceClass = table.reference("class", references.classNames(), "class");
        double perSecond = table.number("per_second", 0, 0.001, MAX_PER_SECOND);
        int maxInFlight = table.integer("at_once", 0, 1, 1_000_000);
        if ((perSecond > 0) == (maxInFlight > 0)) {
            table.error(perSecond > 0 ? "at_once" : "name", "a limit has either per_second or at_once");
        }
        double burst = table.number("burst", perSecond / 10, 0, MAX_PER_SECOND);
        if (table.has("burst") && maxInFlight > 0) {
            table.error("burst", "burst goes with per_second; at_once has none");
        }
        String whenIsolated = table.oneOf("when_alone", "share", "share", "last", "none");
        double shareFraction = table.number("share_part", 1, 0, 1);
        if (table.has("share_part") && whenIsolated.equals("none")) {
            table.error("share_part", "with when_alone = \"none\" proxies own no share");
        }
        table.rejectUnknownKeys();
        return new QuotaConfig(
                name, pool, tenant, serviceClass, perSecond, burst, maxInFlight, whenIsolated, shareFraction);
    }
}
