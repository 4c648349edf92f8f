package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.QuotaConfig;
import cacheproxy.fleet.quota.LocalQuota;
import cacheproxy.proxy.request.ClientRequest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The quotas that apply to a request, by its pool, service class and tenant. A new table is built for each
 * configuration.
 */
final class QuotaTable {
    /** Stands for the pool's name in quotas that apply to all pools. */
    static final String ALL_POOLS = "";

    private static final LocalQuota[] NONE = {};
    private static final String EACH_TENANT = "*";

    private final DaemonConfig file;
    private final int tenants;
    private final Map<String, LocalQuota[][]> byPool = new HashMap<>();

    QuotaTable(DaemonConfig file) {
        this.file = file;
        tenants = Math.max(1, file.tenants().size());
    }

    /** Returns the names of the quotas that a configured limit creates: one, or one for each tenant. */
    static List<String> namesOf(QuotaConfig limit, DaemonConfig file) {
        if (EACH_TENANT.equals(limit.tenant()) && !file.tenants().isEmpty()) {
            return file.tenants().stream()
                    .map(tenant -> limit.name() + ":" + tenant.name())
                    .toList();
        }
        return List.of(limit.name());
    }

    /**
     * Adds the quotas of a limit.
     *
     * @param names the quotas' names as returned by {@link #namesOf}
     * @param quotas returns the quota of a name
     */
    void add(QuotaConfig limit, List<String> names, Function<String, LocalQuota> quotas) {
        LocalQuota[][] table = byPool.computeIfAbsent(limit.pool() == null ? ALL_POOLS : limit.pool(), pool -> empty());
        for (int serviceClass = 0; serviceClass < file.classes().size(); serviceClass++) {
            for (int tenant = 0; tenant < tenants; tenant++) {
                if (appliesTo(limit, serviceClass, tenant)) {
                    int index = serviceClass * tenants + tenant;
                    String name = names.get(names.size() > 1 ? tenant : 0);
                    table[index] = append(table[index], quotas.apply(name));
                }
            }
        }
    }

    private LocalQuota[][] empty() {
        LocalQuota[][] table = new LocalQuota[file.classes().size() * tenants][];
        Arrays.fill(table, NONE);
        return table;
    }

    private boolean appliesTo(QuotaConfig limit, int serviceClass, int tenant) {
        boolean classMatches = limit.serviceClass() == null || file.classIndex(limit.serviceClass()) == serviceClass;
        boolean tenantMatches = limit.tenant() == null
                || limit.tenant().equals(EACH_TENANT)
                || file.tenantIndex(limit.tenant()) == tenant;
        return classMatches && tenantMatches;
    }

    private static LocalQuota[] append(LocalQuota[] quotas, LocalQuota added) {
        LocalQuota[] longer = Arrays.copyOf(quotas, quotas.length + 1);
        longer[quotas.length] = added;
        return longer;
    }

    /** Returns the quotas that apply to a request; empty if there are none. */
    LocalQuota[] quotasFor(String pool, ClientRequest request) {
        LocalQuota[][] table = byPool.get(pool);
        if (table == null) {
            return NONE;
        }
        int index = request.serviceClass() * tenants + request.tenant();
        return index < table.length ? table[index] : NONE;
    }
}
