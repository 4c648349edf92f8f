package cacheproxy.config;

import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.RouteTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The checked configuration file of the daemon. All times are in milliseconds.
 *
 * @param path of the file, for errors
 * @param keys format of keys
 * @param pools by name, in the file's order
 * @param sections of optional subsystems, by the classes of their records
 */
public record DaemonConfig(
        String path,
        SiteConfig site,
        KeyFormat keys,
        ProcessLimitsConfig limits,
        List<ServiceClass> classes,
        List<Tenant> tenants,
        List<ListenerConfig> listeners,
        Map<String, PoolConfig> pools,
        RouteTable routes,
        Map<Class<?>, Object> sections) {

    /** The section of an optional subsystem; null where the file has none. */
    public <T> T section(Class<T> type) {
        return type.cast(sections.get(type));
    }

    /** These pools and those that follow the last of them by its own {@code fallback}. */
    public List<String> fallbackChain(List<String> poolNames) {
        List<String> chain = new ArrayList<>(poolNames);
        String next = pools.get(poolNames.get(poolNames.size() - 1)).fallback();
        while (next != null && !chain.contains(next)) {
            chain.add(next);
            next = pools.get(next).fallback();
        }
        return chain;
    }

    /** The index of a service class; -1 if there is none of this name. */
    public int classIndex(String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** The index of a tenant; 0 where the file has no tenants, -1 if there is none of this name. */
    public int tenantIndex(String name) {
        for (int i = 0; i < tenants.size(); i++) {
            if (tenants.get(i).name().equals(name)) {
                return i;
            }
        }
        return tenants.isEmpty() ? 0 : -1;
    }
}
