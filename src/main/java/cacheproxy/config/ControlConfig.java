package cacheproxy.config;

import java.net.InetSocketAddress;

/** {@code [control]}: the address at which operators reach the daemon. */
public record ControlConfig(InetSocketAddress listen) {
    /** Reads the section; returns null if the file has none. */
    static ControlConfig read(TomlTableReader root, ConfigReferences references) {
        TomlTableReader table = root.table("control");
        if (table == null) {
            return null;
        }
        ControlConfig control = new ControlConfig(ConfigValues.listenAddress(table, "listen"));
        table.rejectUnknownKeys();
        return control;
    }
}
