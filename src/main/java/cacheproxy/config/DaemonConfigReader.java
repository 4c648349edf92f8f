package cacheproxy.config;

import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteTable;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Reads the daemon's configuration file and reports all errors in it, not only the first. */
public final class DaemonConfigReader {
    /**
     * Maximum size of a file, so that a wrong path does not make the daemon read a huge file. A file of 10,000 routes
     * has about 2 MB.
     */
    static final long MAX_FILE_BYTES = 32L << 20;

    /** The readers of the sections of optional subsystems. */
    private static final List<SectionReader> SECTIONS = List.of(
            ControlConfig::read, FleetConfig::read, SnapshotConfig::read, HooksConfig::read, SiblingsConfig::read);

    /** Reads the section of one subsystem. */
    interface SectionReader {
        /** Returns a record of the section, or null if the file has none. */
        Object read(TomlTableReader root, ConfigReferences references);
    }

    private DaemonConfigReader() {}

    /**
     * Reads and checks a file.
     *
     * @throws ConfigException with one line for each error; also if the file cannot be read
     */
    public static DaemonConfig read(Path path) throws ConfigException {
        String text;
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw unreadable(path, "the file has more than " + MAX_FILE_BYTES + " bytes");
            }
            text = Files.readString(path);
        } catch (NoSuchFileException e) {
            throw unreadable(path, "there is no such file");
        } catch (CharacterCodingException e) {
            throw unreadable(path, "the file is not UTF-8 text");
        } catch (IOException e) {
            throw unreadable(path, "can't be read: " + e.getMessage());
        }
        return parse(path.toString(), text);
    }

    private static ConfigException unreadable(Path path, String reason) {
        return new ConfigException(List.of(path + ":1:1: " + reason));
    }

    /** Reads and checks a configuration text; error messages give {@code name} as the file. */
    public static DaemonConfig parse(String name, String text) throws ConfigException {
        return TomlTableReader.parse(name, text, root -> readRoot(name, root));
    }

    private static DaemonConfig readRoot(String path, TomlTableReader root) {
        SiteConfig site = SiteConfig.read(root);
        KeyFormat keys = readKeyFormat(root);
        ProcessLimitsConfig limits = ProcessLimitsConfig.read(root);
        List<ServiceClass> classes = ServiceClassReader.readClasses(root);
        List<Tenant> tenants = ServiceClassReader.readTenants(root);
        List<ListenerConfig> listeners =
                ListenerReader.read(root, names(classes, ServiceClass::name), names(tenants, Tenant::name));
        PoolReader poolReader = PoolReader.read(root);
        Map<String, PoolConfig> pools = poolReader.pools();
        List<TomlTableReader> routeTables = root.tables("route");
        ConfigErrors errors = root.errors();
        if (classes.isEmpty()) {
            errors.add(null, "no class; write [[class]] with a name, an effect and times");
        }
        if (listeners.isEmpty()) {
            errors.add(null, "no listener; write [[listen]] with a name and an address");
        }
        if (pools.isEmpty()) {
            errors.add(null, "no pool; write [[pool]] with a name and servers");
        }
        poolReader.checkFallbacks();
        Set<String> listenerNames = new HashSet<>(names(listeners, ListenerConfig::name));
        RouteTable routes = new RouteReader(errors, keys, listenerNames, classes, tenants, pools.keySet())
                .read(root.tables("host"), routeTables);
        ConfigReferences references = new ConfigReferences(
                path,
                errors,
                Set.copyOf(listenerNames),
                routes.routes().stream().map(Route::name).collect(Collectors.toSet()),
                Map.copyOf(pools),
                Map.copyOf(poolReader.tables()),
                Map.copyOf(poolReader.serverNames()),
                List.copyOf(classes),
                List.copyOf(tenants));
        Map<Class<?>, Object> sections = readSections(root, references);
        return new DaemonConfig(path, site, keys, limits, classes, tenants, listeners, pools, routes, sections);
    }

    private static KeyFormat readKeyFormat(TomlTableReader root) {
        return switch (root.oneOf("keys", "text", "text", "path", "path-and-query")) {
            case "path" -> KeyFormat.PATH;
            case "path-and-query" -> KeyFormat.PATH_AND_QUERY;
            default -> KeyFormat.TEXT;
        };
    }

    /**
     * Returns the names that other sections can refer to. Entries without a name are left out; they have been reported.
     */
    private static <T> List<String> names(Collection<T> entries, Function<T, String> name) {
        return entries.stream()
                .map(name)
                .filter(text -> !text.isEmpty())
                .distinct()
                .toList();
    }

    private static Map<Class<?>, Object> readSections(TomlTableReader root, ConfigReferences references) {
        Map<Class<?>, Object> sections = new HashMap<>();
        for (SectionReader reader : SECTIONS) {
            Object section = reader.read(root, references);
            if (section != null) {
                sections.put(section.getClass(), section);
            }
        }
        return Map.copyOf(sections);
    }
}
