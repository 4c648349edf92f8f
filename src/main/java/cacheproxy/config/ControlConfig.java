package cacheproxy.config;

import java.net.InetSocketAddress;

/** {@code [control]}: the operators' address. */
public record ControlConfig(InetSocketAddress listen) {
    static ControlConfig read(TomlTableReader root) {
        TomlTableReader s = root.section("control");
        if (s == null) {
            return null;
        }
        ControlConfig c = new ControlConfig(DaemonConfigReader.address(s, "listen", true));
        s.end();
        return c;
    }
}
