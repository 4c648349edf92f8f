package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.function.IntFunction;

/**
 * What each proxy of a run is told: the platform's configuration for {@code serve}, a daemon's file for {@code run}.
 */
final class ChildFiles {
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;

    private final Scenario s;
    private final AddressSpace space;
    private final TargetSelector names;
    private final IntFunction<JsonObject> known;

    /** @param known the list as it is when a proxy starts */
    ChildFiles(Scenario s, AddressSpace space, IntFunction<JsonObject> known) {
        this.known = known;
        this.s = s;
        this.space = space;
        names = s.targetSelector();
    }

    String of(int proxy, long seed) {
        return s.program().equals("serve") ? serve(proxy, seed) : run(proxy);
    }

    private String serve(int proxy, long seed) {
        JsonObject json = new JsonObject();
        json.addProperty("name", TargetSelector.proxyName(proxy));
        json.addProperty("listen", AddressSpace.text(space.proxy(proxy, AddressSpace.CLIENTS)));
        json.addProperty("discovery", AddressSpace.text(space.face(proxy, AddressSpace.DISCOVERY)));
        json.addProperty("seed", "%016x".formatted(seed));
        json.add("limits", object("cores", 1, "memory_mb", MEMORY_MB, "sockets", SOCKETS));
        json.addProperty("peer_listen", AddressSpace.text(space.proxy(proxy, AddressSpace.PEERS)));
        JsonArray peers = new JsonArray();
        for (int i = 0; i < s.proxies(); i++) {
            peers.add(AddressSpace.text(space.face(i, AddressSpace.PEERS)));
        }
        json.add("peers", peers);
        json.addProperty("peers_all", AddressSpace.text(space.all()));
        json.add("known", known.apply(proxy));
        json.add("settings", settings(proxy));
        return json.toString();
    }

    private JsonObject settings(int proxy) {
        JsonObject o = object(
                "me",
                proxy,
                "balancers",
                s.proxies(),
                "locality",
                names.zoneOfProxy(proxy),
                "discovery",
                "ask",
                "value-by",
                "request",
                "over-share-worth",
                0.1);
        o.add("zones", words(s.zones()));
        o.add("kinds", words(List.of("node", "origin")));
        JsonObject report = object("how", "silent");
        report.add("names", new JsonArray());
        o.add("report", report);
        o.add(
                "caps",
                object(
                        "may-cancel",
                        true,
                        "may-probe",
                        false,
                        "peers",
                        true,
                        "second-copies",
                        true,
                        "retry-after",
                        true,
                        "max-attempts",
                        3,
                        "max-retry-after",
                        500,
                        "connect-timeout",
                        250,
                        "idle-close",
                        30_000,
                        "streams-per-conn",
                        4));
        o.add("extra", object("mode", "aside", "origin-kind", 1, "origin-fall-multiple", 0, "origin-fall", 3000));
        o.add(
                "guarantees",
                object(
                        "drain-grace",
                        2000,
                        "grace-to-answer",
                        20,
                        "start-capacity",
                        0.3,
                        "warm-up",
                        9000,
                        "tip-multiple",
                        3,
                        "fall",
                        1500,
                        "ask-within",
                        10_000));
        JsonArray classes = new JsonArray();
        classes.add(serviceClass("read", "retryable", 1));
        classes.add(serviceClass("put", "dedup", 3));
        classes.add(serviceClass("submit", "fragile", 3));
        o.add("classes", classes);
        return o;
    }

    private JsonObject serviceClass(String name, String effect, double gain) {
        return object(
                "name",
                name,
                "idempotency",
                effect,
                "promise",
                s.load().deadlineMs() / 4,
                "deadline",
                s.load().deadlineMs(),
                "gain",
                gain,
                "late-share",
                0.2,
                "stream",
                false,
                "group",
                "all",
                "window",
                5000);
    }

    private static JsonArray words(List<String> words) {
        JsonArray array = new JsonArray();
        words.forEach(array::add);
        return array;
    }

    private static JsonObject object(Object... pairs) {
        JsonObject o = new JsonObject();
        for (int i = 0; i < pairs.length; i += 2) {
            String key = (String) pairs[i];
            if (pairs[i + 1] instanceof Number n) {
                o.addProperty(key, n);
            } else if (pairs[i + 1] instanceof Boolean b) {
                o.addProperty(key, b);
            } else {
                o.addProperty(key, (String) pairs[i + 1]);
            }
        }
        return o;
    }

    private String run(int proxy) {
        String zones = "[\"" + String.join("\", \"", s.zones()) + "\"]";
        return String.join(
                "\n",
                "[site]",
                "name = \"rig\"",
                "zone = \"" + s.zones().get(names.zoneOfProxy(proxy)) + "\"",
                "instances = " + s.proxies(),
                "me = " + proxy,
                "",
                "[limits]",
                "memory_mb = " + MEMORY_MB,
                "sockets = " + SOCKETS,
                "max_retry_after_ms = 500",
                "unknown_capacity = " + s.serverPerSecond(),
                "",
                serviceClass("read", "safe", ""),
                serviceClass("put", "keyed", "window_ms = 5000\n"),
                serviceClass("submit", "unsafe", ""),
                "[[listen]]",
                "name = \"main\"",
                "address = \"" + AddressSpace.text(space.proxy(proxy, AddressSpace.CLIENTS)) + "\"",
                "",
                "[[pool]]",
                "name = \"pages\"",
                "[pool.discovery]",
                "address = \"" + AddressSpace.text(space.face(proxy, AddressSpace.DISCOVERY)) + "\"",
                "zones = " + zones,
                "kinds = [\"node\", \"origin\"]",
                "origin_kind = \"origin\"",
                "",
                "[[route]]",
                "name = \"all\"",
                "pools = [\"pages\"]",
                "",
                replaced(
                        s.oldProxies().contains(TargetSelector.proxyName(proxy))
                                ? s.oldConfigSuffix()
                                : s.configSuffix(),
                        proxy),
                "");
    }

    private String serviceClass(String name, String effect, String more) {
        return "[[class]]\nname = \"" + name + "\"\neffect = \"" + effect + "\"\n" + more + "aim_ms = "
                + s.load().deadlineMs() / 4 + "\ndeadline_ms = " + s.load().deadlineMs() + "\n";
    }

    /** The words that a scenario's own text may have. */
    private String replaced(String text, int proxy) {
        StringBuilder peers = new StringBuilder();
        if (text.contains("{peers}") || text.contains("{peers-but-last}")) {
            for (int i = 0; i < s.proxies() - (text.contains("{peers}") ? 0 : 1); i++) {
                peers.append("[[fleet.peer]]\nname = \"")
                        .append(TargetSelector.proxyName(i))
                        .append("\"\naddress = \"")
                        .append(AddressSpace.text(space.face(i, AddressSpace.PEERS)))
                        .append("\"\nzone = \"")
                        .append(s.zones().get(names.zoneOfProxy(i)))
                        .append("\"\n");
            }
        }
        return text.replace("{me}", TargetSelector.proxyName(proxy))
                .replace("{ip}", space.proxy(proxy))
                .replace("{control}", AddressSpace.text(space.proxy(proxy, AddressSpace.CONTROL)))
                .replace("{listen}", AddressSpace.text(space.proxy(proxy, AddressSpace.PEERS)))
                .replace("{peers}", peers.toString())
                .replace("{peers-but-last}", peers.toString());
    }
}
