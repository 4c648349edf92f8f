package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * Tests the proxy with the settings of each deployment in deploy/sites, which define their own classes, effects,
 * tenants and names.
 */
class SitesTest {
    private static final Map<String, String> EFFECTS =
            Map.of("safe", "retryable", "keyed", "dedup", "unsafe", "fragile");

    static Stream<Path> sites() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("deploy/sites"))) {
            List<Path> sites = files.filter(file -> file.toString().endsWith(".toml"))
                    .sorted()
                    .toList();
            assertThat(sites).hasSizeGreaterThanOrEqualTo(2);
            return sites.stream();
        }
    }

    @ParameterizedTest
    @MethodSource("sites")
    void servesEachClassOfASiteForEachOfItsTenants(Path path) throws Exception {
        TomlParseResult site = Toml.parse(path);
        assertThat(site.errors()).as(path.toString()).isEmpty();
        ScriptedServer node =
                ScriptedServer.node(line -> "VA 5 O" + ScriptedServer.requestId(line) + " h1\r\nhello\r\n");
        ScriptedServer origin = new ScriptedServer(c -> {
            while (c.readRequest() != null) {
                c.sendHttp(200, "", "receipt");
            }
        });
        try (Fleet fleet = new Fleet().settings(settings(site)).node(node).origin(origin)) {
            String zone = site.getArray("net.zones").getString(0);
            fleet.hosts.forEach(host -> host.getAsJsonObject().addProperty("site", zone));
            fleet.hosts
                    .get(0)
                    .getAsJsonObject()
                    .addProperty(
                            "class",
                            site.getArrayOrEmpty("tier")
                                    .getTable(0)
                                    .getArray("kind")
                                    .getTable(0)
                                    .getString("name"));
            fleet.start();
            try (Fleet.Client client = fleet.client()) {
                int requests = 0;
                for (TomlTable tenant : tables(site, "tenant")) {
                    for (TomlTable c : tables(site, "class")) {
                        String id = "r" + requests++;
                        String flags = " O" + id + " Pc=" + c.getString("name") + ",t=" + tenant.getString("name")
                                + ",d=20000";
                        boolean write = c.getBoolean("write", () -> false);
                        client.send(
                                write
                                        ? "ms k" + requests + " 5" + flags + ",k=0123456789abcdef\r\nhello\r\n"
                                        : "mg k" + requests + " v" + flags + "\r\n");
                        assertThat(client.line())
                                .as(c.getString("name"))
                                .isEqualTo(write ? "HD O" + id + " creceipt" : "VA 5 O" + id);
                        if (!write) {
                            client.line();
                        }
                    }
                }
                assertThat(requests).isPositive();
            }
        }
    }

    private static List<TomlTable> tables(TomlTable in, String key) {
        TomlArray array = in.getArrayOrEmpty(key);
        List<TomlTable> tables = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            tables.add(array.getTable(i));
        }
        return tables;
    }

    /** The settings that the platform sends to a proxy of this deployment, under the names of its first message. */
    private static String settings(TomlTable site) {
        TomlTable tier = site.getArrayOrEmpty("tier").getTable(0);
        TomlTable allow = site.getTable("allow");
        TomlTable rules = site.getTable("rules");
        List<String> lines = new ArrayList<>(List.of(
                "balancers=1",
                "me=0",
                "locality=0",
                "discovery=" + site.getString("discovery.mode"),
                "report.how=silent",
                "report.names=",
                "value-by=request",
                "over-share-worth=0.1",
                "caps.peers=false",
                "extra.mode=aside",
                "guarantees.grace-to-answer=20.0",
                "guarantees.start-capacity=0.3",
                "guarantees.warm-up=9000.0",
                "guarantees.ask-within=10000.0",
                "caps.max-retry-after=" + site.get("clients.max_retry_after_ms"),
                "caps.idle-close=" + 1000 * number(tier, "conn.idle_s"),
                "caps.connect-timeout=" + tier.get("conn.connect_timeout_ms"),
                "caps.streams-per-conn=" + tier.get("conn.streams"),
                "caps.max-attempts=" + allow.get("max_attempts"),
                "guarantees.drain-grace=" + rules.get("drain_grace_ms"),
                "guarantees.tip-multiple=" + rules.get("fall_multiple"),
                "guarantees.fall=" + rules.get("fall_ms"),
                "caps.may-cancel=" + allow.get("cancel"),
                "caps.may-probe=" + allow.get("probes"),
                "caps.second-copies=" + allow.get("second_copies"),
                "caps.retry-after=" + allow.get("retry_after")));
        lines.add("zones="
                + String.join(
                        ",",
                        site.getArray("net.zones").toList().stream()
                                .map(Object::toString)
                                .toList()));
        List<String> kinds = new ArrayList<>(tables(tier, "kind").stream()
                .map(kind -> kind.getString("name"))
                .toList());
        kinds.add("origin");
        lines.add("kinds=" + String.join(",", kinds));
        lines.add("extra.origin-kind=" + (kinds.size() - 1));
        List<TomlTable> classes = tables(site, "class");
        lines.add("classes.count=" + classes.size());
        for (int i = 0; i < classes.size(); i++) {
            TomlTable serviceClass = classes.get(i);
            String prefix = "classes." + i + ".";
            lines.addAll(List.of(
                    prefix + "name=" + serviceClass.getString("name"),
                    prefix + "idempotency=" + EFFECTS.get(serviceClass.getString("effect")),
                    prefix + "promise=" + serviceClass.get("aim_ms"),
                    prefix + "deadline=" + serviceClass.get("deadline_ms"),
                    prefix + "gain=" + serviceClass.get("worth"),
                    prefix + "late-share=" + serviceClass.get("late_worth"),
                    prefix + "stream=false"));
            if (serviceClass.getString("effect").equals("keyed")) {
                lines.addAll(List.of(
                        prefix + "group=" + serviceClass.getString("group"),
                        prefix + "window=" + serviceClass.get("window_ms")));
            }
        }
        List<TomlTable> tenants = tables(site, "tenant");
        lines.add("tenants.count=" + tenants.size());
        for (int i = 0; i < tenants.size(); i++) {
            lines.addAll(List.of(
                    "tenants." + i + ".name=" + tenants.get(i).getString("name"),
                    "tenants." + i + ".fraction=" + tenants.get(i).get("share"),
                    "tenants." + i + ".quota-per-s=100"));
        }
        return String.join("\n", lines);
    }

    private static double number(TomlTable in, String key) {
        return ((Number) in.get(key)).doubleValue();
    }
}
