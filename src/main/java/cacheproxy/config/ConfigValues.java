package cacheproxy.config;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;

/** Reads the kinds of values that several sections contain: names and addresses. */
final class ConfigValues {
    static final double HOUR_MS = 3_600_000;

    private static final int MAX_NAME_CHARS = 64;
    /** Replaces an address that could not be read, so that reading can continue. */
    private static final InetSocketAddress PLACEHOLDER_ADDRESS = new InetSocketAddress(0);

    private ConfigValues() {}

    /**
     * Returns whether a text is a valid name. Names are written into lists of names and values, so they must not
     * contain the separators of these lists.
     */
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
     * @param taken names read so far, to which this one is added
     * @param kind kind of table, for error messages
     */
    static String uniqueName(TomlTableReader table, Set<String> taken, String kind) {
        String name = table.text("name");
        if (!name.isEmpty() && !isName(name)) {
            table.error(
                    "name",
                    kind + " name '" + name + "' is not a valid name; "
                            + "1 to 64 printable characters without space, comma and =");
        }
        if (!name.isEmpty() && !taken.add(name)) {
            table.error("name", kind + " '" + name + "' already exists; names must be unique");
        }
        return name;
    }

    /** Reads an address to listen on; with port 0 the operating system chooses the port. */
    static InetSocketAddress listenAddress(TomlTableReader table, String key) {
        return address(table, key).orElse(PLACEHOLDER_ADDRESS);
    }

    /** Reads the address of a server; port 0 is an error. */
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
