package cacheproxy.config;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

/** Kinds of values that several sections have: names and addresses. */
final class ConfigValues {
    static final double HOUR_MS = 3_600_000;

    private static final int MAX_NAME_CHARS = 64;
    /** Goes on in place of an address that could not be read. */
    private static final InetSocketAddress PLACEHOLDER_ADDRESS = new InetSocketAddress(0);

    private ConfigValues() {}

    /** Returns whether a text can be a name: it stands in lists of names and values, which it must not break. */
    static boolean isName(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_NAME_CHARS
                && text.chars().allMatch(ConfigValues::isNameCharacter);
    }

    private static boolean isNameCharacter(int character) {
        return character > ' ' && character <= '~' && character != ',' && character != '=';
    }

    /**
     * Reads the unique name of a table.
     *
     * @param taken names so far, to which this one is added
     * @param kind of table, in errors
     */
    static String uniqueName(TomlTableReader table, Set<String> taken, String kind) {
        String name = table.text("name");
        if (!name.isEmpty() && !isName(name)) {
            table.error(
                    "name",
                    kind + " name '" + name + "' is no word; 1 to 64 printing characters without space, comma and =");
        }
        if (!name.isEmpty() && !taken.add(name)) {
            table.error("name", kind + " '" + name + "' is there already; names are used once");
        }
        return name;
    }

    /** Reads an address to listen at; port 0 leaves the choice to the system. */
    static InetSocketAddress listenAddress(TomlTableReader table, String key) {
        return address(table, key).orElse(PLACEHOLDER_ADDRESS);
    }

    /** Reads an address to send to. */
    static InetSocketAddress serverAddress(TomlTableReader table, String key) {
        Optional<InetSocketAddress> address = address(table, key);
        if (address.isPresent() && address.get().getPort() == 0) {
            table.error(key, key + " '" + table.text(key) + "' has port 0; a server's port is 1 to 65535");
        }
        return address.orElse(PLACEHOLDER_ADDRESS);
    }

    private static Optional<InetSocketAddress> address(TomlTableReader table, String key) {
        String text = table.text(key);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Addresses.parse(text));
        } catch (IllegalArgumentException e) {
            table.error(key, e.getMessage() + "; write it as 127.0.0.1:11211 or [::1]:11211, names are not looked up");
            return Optional.empty();
        }
    }
}
