package cacheproxy.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * {@code [[fleet.limit]]}: one quota of the whole fleet, on a rate or on requests in progress.
 *
 * @param pool the pool whose requests it limits; null for all pools together
 * @param tenant the tenant whose requests it limits; null for all tenants together, {@code *} for each tenant
 *     separately
 * @param serviceClass the class whose requests it limits; null for all classes together
 * @param perSecond limit of requests per second; 0 if it limits requests in progress
 * @param burst number of requests that unused quota can accumulate, over the whole fleet
 * @param maxInFlight limit of requests in progress; 0 if it limits a rate
 * @param whenIsolated what an isolated proxy can use of the quota: {@code share}, {@code last} or {@code none}
 * @param shareFraction fraction of the quota that is allocated to the proxies without a grant, 0 to 1
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
    /** The value of {@code tenant} that stands for each tenant separately. */
    private static final String EACH_TENANT = "*";

    private static final double MAX_PER_SECOND = 1e7;

    /** Returns a description of what the quota limits, for operators. */
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

    /** Returns the number of quotas that this one stands for, with a quota for each tenant counted separately. */
    int countForTenants(int tenantCount) {
        return EACH_TENANT.equals(tenant) ? Math.max(1, tenantCount) : 1;
    }

    /** Reads one quota and adds its name to {@code names}. */
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
