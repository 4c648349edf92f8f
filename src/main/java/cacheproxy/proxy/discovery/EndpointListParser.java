package cacheproxy.proxy.discovery;

import cacheproxy.config.Addresses;
import cacheproxy.placement.ServerId;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import cacheproxy.proxy.process.PlatformConfig;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads discovery's JSON form of the endpoint list. Its methods throw a {@link RuntimeException} where the input is not
 * of that form; where only a value is invalid, it is a {@link DiscoveryException}.
 */
final class EndpointListParser {
    private final List<String> zones;
    private final List<String> serverKinds;

    /** Creates a parser for lists whose servers are of these zones and kinds. */
    EndpointListParser(List<String> zones, List<String> serverKinds) {
        this.zones = zones;
        this.serverKinds = serverKinds;
    }

    /** Reads a response. */
    EndpointListUpdate parse(JsonObject list) {
        return new EndpointListUpdate(servers(list), list.get("whole").getAsBoolean(), version(list));
    }

    /** Reads the version alone. */
    long version(JsonObject list) {
        return list.get("seq").getAsLong();
    }

    /** Reads the servers alone, in their order. */
    List<DiscoveryClient.Host> servers(JsonObject list) {
        List<DiscoveryClient.Host> servers = new ArrayList<>();
        Set<Integer> ids = new HashSet<>();
        for (JsonElement element : list.getAsJsonArray("hosts")) {
            DiscoveryClient.Host server = server(element.getAsJsonObject());
            if (!ids.add(server.member().id())) {
                throw new DiscoveryException("a host is listed twice");
            }
            servers.add(server);
        }
        return servers;
    }

    private DiscoveryClient.Host server(JsonObject json) {
        String name = json.get("host").getAsString();
        EndpointState state = state(name, json.get("health").getAsString());
        int zone = zones.indexOf(PlatformConfig.toSettingName(json.get("site").getAsString()));
        int kind = serverKinds.indexOf(
                PlatformConfig.toSettingName(json.get("class").getAsString()));
        float weight = json.has("share") ? json.get("share").getAsFloat() : 1;
        if (zone < 0 || kind < 0 || !(weight >= 0) || Float.isInfinite(weight)) {
            throw new DiscoveryException("host " + name + ": unknown site or class, or bad share");
        }
        double startedMs = json.has("born_ms") ? json.get("born_ms").getAsDouble() : 0;
        int cell = json.has("block") ? json.get("block").getAsInt() : 0;
        return new DiscoveryClient.Host(
                new Endpoint(ServerId.fromName(name), zone, kind, cell, state, weight, startedMs),
                Addresses.parse(json.get("dial").getAsString()));
    }

    private static EndpointState state(String server, String health) {
        return switch (health) {
            case "up" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "removed" -> EndpointState.GONE;
            default -> throw new DiscoveryException("host " + server + ": unknown health");
        };
    }
}
