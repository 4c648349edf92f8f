package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.function.IntFunction;

/** The configuration file of a proxy that is started with {@code serve}, as the platform writes it. */
final class PlatformConfigFile {
    private final Scenario scenario;
    private final AddressSpace space;
    private final TargetSelector endpoints;
    private final IntFunction<JsonObject> initialEndpointList;

    /** @param initialEndpointList the endpoint list that is passed to a proxy when it starts, by the proxy's index */
    PlatformConfigFile(Scenario scenario, AddressSpace space, IntFunction<JsonObject> initialEndpointList) {
        this.scenario = scenario;
        this.space = space;
        this.initialEndpointList = initialEndpointList;
        endpoints = scenario.targetSelector();
    }

    /** The text of a proxy's file. */
    String of(int proxy, long seed) {
        JsonObject json = new JsonObject();
        json.addProperty("name", TargetSelector.proxyName(proxy));
        json.addProperty("listen", AddressSpace.text(space.proxyAddress(proxy, AddressSpace.CLIENT_PORT)));
        json.addProperty("discovery", AddressSpace.text(space.relayAddress(proxy, AddressSpace.DISCOVERY_PORT)));
        json.addProperty("seed", "%016x".formatted(seed));
        json.add(
                "limits",
                jsonObject("cores", 1, "memory_mb", ProxyConfigFiles.MEMORY_MB, "sockets", ProxyConfigFiles.SOCKETS));
        json.addProperty("peer_listen", AddressSpace.text(space.proxyAddress(proxy, AddressSpace.PEER_PORT)));
        JsonArray peers = new JsonArray();
        for (int i = 0; i < scenario.proxies(); i++) {
            peers.add(AddressSpace.text(space.relayAddress(i, AddressSpace.PEER_PORT)));
        }
        json.add("peers", peers);
        json.addProperty("peers_all", AddressSpace.text(space.broadcastAddress()));
        json.add("known", initialEndpointList.apply(proxy));
        json.add("settings", settings(proxy));
        return json.toString();
    }

    private JsonObject settings(int proxy) {
        JsonObject settings = new JsonObject();
        settings.addProperty("me", proxy);
        settings.addProperty("balancers", scenario.proxies());
        settings.addProperty("locality", endpoints.zoneOfProxy(proxy));
        settings.addProperty("discovery", "ask");
        settings.addProperty("value-by", "request");
        settings.addProperty("over-share-worth", 0.1);
        settings.add("zones", jsonArray(scenario.zones()));
        settings.add("kinds", jsonArray(List.of("node", "origin")));
        JsonObject report = jsonObject("how", "silent");
        report.add("names", new JsonArray());
        settings.add("report", report);
        settings.add("caps", capabilities());
        settings.add(
                "extra", jsonObject("mode", "aside", "origin-kind", 1, "origin-fall-multiple", 0, "origin-fall", 3000));
        settings.add("guarantees", guarantees());
        JsonArray classes = new JsonArray();
        classes.add(serviceClass("read", "retryable", 1));
        classes.add(serviceClass("put", "dedup", 3));
        classes.add(serviceClass("submit", "fragile", 3));
        settings.add("classes", classes);
        return settings;
    }

    private static JsonObject capabilities() {
        JsonObject capabilities = new JsonObject();
        capabilities.addProperty("may-cancel", true);
        capabilities.addProperty("may-probe", false);
        capabilities.addProperty("peers", true);
        capabilities.addProperty("second-copies", true);
        capabilities.addProperty("retry-after", true);
        capabilities.addProperty("max-attempts", 3);
        capabilities.addProperty("max-retry-after", 500);
        capabilities.addProperty("connect-timeout", 250);
        capabilities.addProperty("idle-close", 30_000);
        capabilities.addProperty("streams-per-conn", 4);
        return capabilities;
    }

    private JsonObject guarantees() {
        Scenario.SlowStart slowStart = scenario.slowStart();
        JsonObject guarantees = new JsonObject();
        guarantees.addProperty("drain-grace", 2000);
        guarantees.addProperty("grace-to-answer", 20);
        guarantees.addProperty("start-capacity", slowStart.startCapacity());
        guarantees.addProperty("warm-up", slowStart.warmUpMs());
        guarantees.addProperty("tip-multiple", slowStart.multiple());
        guarantees.addProperty("fall", slowStart.windowMs());
        guarantees.addProperty("ask-within", 10_000);
        return guarantees;
    }

    private JsonObject serviceClass(String name, String idempotency, double gain) {
        JsonObject serviceClass = new JsonObject();
        serviceClass.addProperty("name", name);
        serviceClass.addProperty("idempotency", idempotency);
        serviceClass.addProperty("promise", scenario.load().deadlineMs() / 4);
        serviceClass.addProperty("deadline", scenario.load().deadlineMs());
        serviceClass.addProperty("gain", gain);
        serviceClass.addProperty("late-share", 0.2);
        serviceClass.addProperty("stream", false);
        serviceClass.addProperty("group", "all");
        serviceClass.addProperty("window", 5000);
        return serviceClass;
    }

    private static JsonArray jsonArray(List<String> words) {
        JsonArray array = new JsonArray();
        words.forEach(array::add);
        return array;
    }

    /** Builds an object from alternating keys and values; values are numbers or strings. */
    private static JsonObject jsonObject(Object... keysAndValues) {
        JsonObject object = new JsonObject();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            String key = (String) keysAndValues[i];
            if (keysAndValues[i + 1] instanceof Number number) {
                object.addProperty(key, number);
            } else {
                object.addProperty(key, (String) keysAndValues[i + 1]);
            }
        }
        return object;
    }
}
