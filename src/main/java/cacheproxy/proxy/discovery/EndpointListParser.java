package cacheproxy.proxy.discovery;

import cacheproxy.config.Addresses;
import cacheproxy.placement.ServerId;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads discovery's JSON form of the endpoint list. Its methods throw a {@link RuntimeException} if the input does not
 * have that form; if only a value is invalid, the exception is a {@link DiscoveryException}.
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
    List<ListedServer> servers(JsonObject list) {
        List<ListedServer> servers = new ArrayList<>();
        Set<Integer> ids = new HashSet<>();
        for (JsonElement element : list.getAsJsonArray("hosts")) {
            ListedServer server = server(element.getAsJsonObject());
            if (!ids.add(server.endpoint().id())) {
                throw new DiscoveryException("a host is listed twice");
            }
            servers.add(server);
        }
        return servers;
    }

    private ListedServer server(JsonObject json) {
        String name = json.get("host").getAsString();
        EndpointState state = state(name, json.get("health").getAsString());
        int zone = zones.indexOf(SettingNames.toSettingName(json.get("site").getAsString()));
        int kind =
                serverKinds.indexOf(SettingNames.toSettingName(json.get("class").getAsString()));
        float weight = json.has("share") ? json.get("share").getAsFloat() : 1;
        if (zone < 0 || kind < 0 || !(weight >= 0) || Float.isInfinite(weight)) {
            throw new DiscoveryException("host " + name + ": unknown site or class, or bad share");
        }
        double startedMs = json.has("born_ms") ? json.get("born_ms").getAsDouble() : 0;
        if (!Double.isFinite(startedMs)) {
            throw new DiscoveryException("host " + name + ": born_ms is not a finite number");
        }
        int cell = json.has("block") ? json.get("block").getAsInt() : 0;
        return new ListedServer(
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
