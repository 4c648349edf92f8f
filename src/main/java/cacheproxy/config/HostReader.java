package cacheproxy.config;

import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.VirtualHosts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Reads the virtual hosts ({@code [[host]]}) of a file whose keys are paths. */
final class HostReader {
    private final Set<String> listeners;
    private final KeyFormat keys;
    private final Set<String> names = new HashSet<>();
    private final Map<String, String> defaultHostByListener = new HashMap<>();

    HostReader(Set<String> listeners, KeyFormat keys) {
        this.listeners = listeners;
        this.keys = keys;
    }

    /** Reads all hosts of the file. */
    List<VirtualHosts.Host> read(List<TomlTableReader> tables) {
        List<VirtualHosts.Host> hosts = new ArrayList<>();
        tables.forEach(table -> hosts.add(readHost(table)));
        return hosts;
    }

    /** Returns the names of the hosts read so far. */
    Set<String> names() {
        return names;
    }

    private VirtualHosts.Host readHost(TomlTableReader table) {
        String name = ConfigValues.uniqueName(table, names, "host");
        if (keys == KeyFormat.TEXT) {
            table.error("name", "hosts need keys that are paths; set keys = \"path\" at the top of the file");
        }
        Set<String> listenerNames = Set.copyOf(table.references("listener", listeners, "listener"));
        List<String> patterns = readPatterns(table);
        boolean isDefault = table.flag("default", false);
        Set<String> defaultListeners = Set.copyOf(table.references("default_of", listeners, "listener"));
        for (String listener : defaultListeners) {
            if (!listenerNames.isEmpty() && !listenerNames.contains(listener)) {
                table.error(
                        "default_of",
                        "host '" + name + "' does not belong to listener " + listener
                                + "; add the listener to the key listener");
            }
        }
        if (patterns.isEmpty() && !isDefault && defaultListeners.isEmpty()) {
            table.error("names", "host " + name + " has no names; write names, or default = true");
        }
        if (isDefault) {
            registerDefault(table, name, listenerNames.isEmpty() ? listeners : listenerNames);
        } else {
            registerDefault(table, name, defaultListeners);
        }
        table.rejectUnknownKeys();
        return new VirtualHosts.Host(name, listenerNames, patterns, isDefault, defaultListeners);
    }

    private void registerDefault(TomlTableReader table, String name, Set<String> defaultListeners) {
        for (String listener : defaultListeners) {
            String other = defaultHostByListener.putIfAbsent(listener, name);
            if (other != null) {
                table.error(
                        "default",
                        "host '" + other + "' is the default of listener " + listener
                                + " already; a listener has one default");
            }
        }
    }

    private static List<String> readPatterns(TomlTableReader table) {
        List<String> patterns = new ArrayList<>();
        for (String pattern : table.texts("names")) {
            if (checkPattern(table, pattern)) {
                patterns.add(pattern.startsWith("~") ? pattern : pattern.toLowerCase(Locale.ROOT));
            }
        }
        return patterns;
    }

    private static boolean checkPattern(TomlTableReader table, String pattern) {
        if (pattern.startsWith("~")) {
            return KeyPatterns.compile(table, "names", pattern.substring(1)) != null;
        }
        if (!VirtualHosts.isValidName(pattern)) {
            table.error(
                    "names",
                    "'" + pattern + "' is not a host name; allowed: a.example, *.example, .example, a.*, ~regex");
            return false;
        }
        return true;
    }
}
