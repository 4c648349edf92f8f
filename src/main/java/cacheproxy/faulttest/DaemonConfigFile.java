package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;

/** The configuration file of a proxy that is started with {@code run}, as a daemon. */
final class DaemonConfigFile {
    private static final String ALL_PEERS = "{peers}";
    private static final String PEERS_BUT_LAST = "{peers-but-last}";

    private final Scenario scenario;
    private final AddressSpace space;
    private final TargetSelector endpoints;

    DaemonConfigFile(Scenario scenario, AddressSpace space) {
        this.scenario = scenario;
        this.space = space;
        endpoints = scenario.targetSelector();
    }

    /** The text of a proxy's file. */
    String of(int proxy) {
        String zones = "[\"" + String.join("\", \"", scenario.zones()) + "\"]";
        boolean alternateConfig = scenario.alternateConfigProxies().contains(TargetSelector.proxyName(proxy));
        return String.join(
                "\n",
                "[site]",
                "name = \"rig\"",
                "zone = \"" + scenario.zones().get(endpoints.zoneOfProxy(proxy)) + "\"",
                "instances = " + scenario.proxies(),
                "me = " + proxy,
                "start_capacity = " + scenario.slowStart().startCapacity(),
                "warm_up_ms = " + scenario.slowStart().warmUpMs(),
                "tip_multiple = " + scenario.slowStart().multiple(),
                "fall_ms = " + scenario.slowStart().windowMs(),
                "",
                "[limits]",
                "memory_mb = " + ProxyConfigFiles.MEMORY_MB,
                "sockets = " + ProxyConfigFiles.SOCKETS,
                "max_retry_after_ms = 500",
                "unknown_capacity = " + scenario.serverPerSecond(),
                "",
                serviceClass("read", "safe", ""),
                serviceClass("put", "keyed", "window_ms = 5000\n"),
                serviceClass("submit", "unsafe", ""),
                "[[listen]]",
                "name = \"main\"",
                "address = \"" + AddressSpace.text(space.proxyAddress(proxy, AddressSpace.CLIENT_PORT)) + "\"",
                "",
                "[[pool]]",
                "name = \"pages\"",
                "[pool.discovery]",
                "address = \"" + AddressSpace.text(space.relayAddress(proxy, AddressSpace.DISCOVERY_PORT)) + "\"",
                "zones = " + zones,
                "kinds = [\"node\", \"origin\"]",
                "origin_kind = \"origin\"",
                "",
                "[[route]]",
                "name = \"all\"",
                "pools = [\"pages\"]",
                "",
                replacePlaceholders(
                        alternateConfig ? scenario.alternateConfigSuffix() : scenario.configSuffix(), proxy),
                "");
    }

    private String serviceClass(String name, String effect, String additionalLines) {
        double deadlineMs = scenario.load().deadlineMs();
        return "[[class]]\nname = \"" + name + "\"\neffect = \"" + effect + "\"\n" + additionalLines + "aim_ms = "
                + deadlineMs / 4 + "\ndeadline_ms = " + deadlineMs + "\n";
    }

    private String replacePlaceholders(String text, int proxy) {
        String peers = "";
        if (text.contains(ALL_PEERS)) {
            peers = peers(scenario.proxies());
        } else if (text.contains(PEERS_BUT_LAST)) {
            peers = peers(scenario.proxies() - 1);
        }
        return text.replace("{me}", TargetSelector.proxyName(proxy))
                .replace("{ip}", space.proxyHost(proxy))
                .replace("{control}", AddressSpace.text(space.proxyAddress(proxy, AddressSpace.CONTROL_PORT)))
                .replace("{listen}", AddressSpace.text(space.proxyAddress(proxy, AddressSpace.PEER_PORT)))
                .replace(ALL_PEERS, peers)
                .replace(PEERS_BUT_LAST, peers);
    }

    private String peers(int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            String address = AddressSpace.text(space.relayAddress(i, AddressSpace.PEER_PORT));
            String zone = scenario.zones().get(endpoints.zoneOfProxy(i));
            text.append("[[fleet.peer]]\n")
                    .append("name = \"" + TargetSelector.proxyName(i) + "\"\n")
                    .append("address = \"" + address + "\"\n")
                    .append("zone = \"" + zone + "\"\n");
        }
        return text.toString();
    }
}
