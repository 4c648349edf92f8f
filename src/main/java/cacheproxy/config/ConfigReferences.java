package cacheproxy.config;

import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the sections of subsystems may refer to.
 *
 * @param file path of the configuration file
 * @param listeners names of listeners
 * @param routes names of routes
 * @param poolTables the pools' tables, for errors
 * @param serverNames by server id
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

    /** Resolves a path of the file against the file's own directory; empty after an error. */
    Path resolvePath(TomlTableReader table, String key, String text) {
        try {
            Path parent = Path.of(file).toAbsolutePath().getParent();
            return parent == null ? Path.of(text) : parent.resolve(text);
        } catch (InvalidPathException e) {
            table.error(key, key + " is no path of a file");
            return Path.of("");
        }
    }

    /** Names of the service classes, in the file's order. */
    List<String> classNames() {
        return classes.stream().map(ServiceClass::name).toList();
    }

    /** Names of the tenants, in the file's order. */
    List<String> tenantNames() {
        return tenants.stream().map(Tenant::name).toList();
    }
}
