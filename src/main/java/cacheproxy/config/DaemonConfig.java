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
 * @param path path of the file, for error messages
 * @param keys format of keys
 * @param pools the pools by name, in the order of the file
 * @param sections the sections of optional subsystems, by the class of their record
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

    /** Returns the section of an optional subsystem; null if the file has none. */
    public <T> T section(Class<T> type) {
        return type.cast(sections.get(type));
    }

    /**
     * Returns the given pools, followed by the pools that are reached from the last of them through {@code fallback}.
     */
    public List<String> fallbackChain(List<String> poolNames) {
        List<String> chain = new ArrayList<>(poolNames);
        String next = pools.get(poolNames.get(poolNames.size() - 1)).fallback();
        while (next != null && !chain.contains(next)) {
            chain.add(next);
            next = pools.get(next).fallback();
        }
        return chain;
    }

    /** Returns the index of a service class; -1 if there is none of this name. */
    public int classIndex(String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the index of a tenant; 0 if the file has no tenants, -1 if there is none of this name. */
    public int tenantIndex(String name) {
        for (int i = 0; i < tenants.size(); i++) {
            if (tenants.get(i).name().equals(name)) {
                return i;
            }
        }
        return tenants.isEmpty() ? 0 : -1;
    }
}
