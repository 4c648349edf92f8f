package cacheproxy.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads the listeners ({@code [[listen]]}); the classes and tenants must have been read before. */
final class ListenerReader {
    /** Keys that supply what plain commands cannot specify. */
    private static final List<String> OPEN_ONLY_KEYS = List.of("class", "write_class", "tenant", "deadline_ms");

    private final List<String> classes;
    private final List<String> tenants;
    private final Set<String> names = new HashSet<>();
    private final List<ListenerConfig> listeners = new ArrayList<>();

    private ListenerReader(List<String> classes, List<String> tenants) {
        this.classes = classes;
        this.tenants = tenants;
    }

    /** Reads all listeners; {@code classes} and {@code tenants} are the names that they may refer to. */
    static List<ListenerConfig> read(TomlTableReader root, List<String> classes, List<String> tenants) {
        ListenerReader reader = new ListenerReader(classes, tenants);
        root.tables("listen").forEach(reader::readListener);
        return reader.listeners;
    }

    private void readListener(TomlTableReader table) {
        String name = ConfigValues.uniqueName(table, names, "listener");
        InetSocketAddress address = ConfigValues.listenAddress(table, "address");
        for (ListenerConfig other : listeners) {
            if (address.getPort() != 0 && address.equals(other.address())) {
                table.error("address", "listener " + other.name() + " has the same address; addresses must be unique");
            }
        }
        table.oneOf("protocol", "meta", "meta");
        boolean open = table.flag("open", false);
        String readClass = table.reference("class", classes, "class");
        String writeClass = table.reference("write_class", classes, "class");
        String tenant = table.reference("tenant", tenants, "tenant");
        double deadlineMs = table.number("deadline_ms", 0, 1, ConfigValues.HOUR_MS);
        if (open && readClass == null) {
            table.error("open", "an open listener needs class, for plain reads");
        }
        if (!open) {
            OPEN_ONLY_KEYS.stream()
                    .filter(table::has)
                    .forEach(key -> table.error(
                            key,
                            key + " is for open listeners; on others each request names its own. Set open = true"));
        }
        listeners.add(new ListenerConfig(name, address, open, readClass, writeClass, tenant, deadlineMs));
        table.rejectUnknownKeys();
    }
}
