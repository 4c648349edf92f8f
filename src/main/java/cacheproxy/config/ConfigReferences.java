package cacheproxy.config;

import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The definitions of a configuration file that the sections of optional subsystems can refer to.
 *
 * @param file path of the configuration file
 * @param listeners names of listeners
 * @param routes names of routes
 * @param poolTables the tables of the pools by pool name, for reporting errors
 * @param serverNames the names of the servers by server id
 */
record ConfigReferences(
        String file,
        ConfigErrors errors,
        Set<String> listeners,
        Set<String> routes,
        Map<String, PoolConfig> pools,
        Map<String, TomlTableReader> poolTables,
        Map<Integer, String> serverNames,
        List<ServiceClass> classes,
        List<Tenant> tenants) {

    /**
     * Resolves a path in the configuration file against the directory of that file; returns an empty path after an
     * error.
     */
    Path resolvePath(TomlTableReader table, String key, String text) {
        try {
            Path parent = Path.of(file).toAbsolutePath().getParent();
            return parent == null ? Path.of(text) : parent.resolve(text);
        } catch (InvalidPathException e) {
            table.error(key, key + " is not a valid file path");
            return Path.of("");
        }
    }

    /** Returns the names of the service classes, in the order of the file. */
    List<String> classNames() {
        return classes.stream().map(ServiceClass::name).toList();
    }

    /** Returns the names of the tenants, in the order of the file. */
    List<String> tenantNames() {
        return tenants.stream().map(Tenant::name).toList();
    }
}
