package cacheproxy.proxy.process;

import cacheproxy.config.Addresses;
import cacheproxy.proxy.discovery.SettingNames;
import cacheproxy.simulator.SettingsParser;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the JSON form of a {@link PlatformConfig}. Its {@code settings} are the settings of the simulator's protocol
 * in the form of a tree; they are flattened to the paths of that protocol and parsed by the same
 * {@link SettingsParser}. Addresses must be IP addresses, as there is no DNS.
 */
final class PlatformConfigParser {
    private static final int HEX_RADIX = 16;
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final double DEFAULT_SERVER_IDLE_TIMEOUT_MS = 15_000;

    private PlatformConfigParser() {}

    /** Parses a configuration; throws a runtime exception if a value is missing or invalid. */
    static PlatformConfig parse(JsonObject json) {
        Map<String, String> settings = new HashMap<>();
        flatten("", required(json, "settings"), settings);
        SettingsParser parser = new SettingsParser(settings);
        JsonObject limits = json.has("limits") ? json.getAsJsonObject("limits") : new JsonObject();
        List<InetSocketAddress> peers = peers(json);
        return new PlatformConfig(
                json.has("name") ? json.get("name").getAsString() : "proxy",
                Addresses.parse(required(json, "listen").getAsString()),
                Addresses.parse(required(json, "discovery").getAsString()),
                Long.parseUnsignedLong(required(json, "seed").getAsString(), HEX_RADIX),
                number(limits, "cores", 1),
                (int) number(limits, "memory_mb", DEFAULT_MEMORY_MB),
                (int) number(limits, "sockets", DEFAULT_SOCKETS),
                optionalAddress(json, "peer_listen"),
                peers,
                optionalAddress(json, "peers_all"),
                optionalAddress(json, "control"),
                json.has("event_log") ? json.get("event_log").getAsBoolean() : null,
                json.has("known") ? json.getAsJsonObject("known") : null,
                parser.settings(),
                parser.list("zones"),
                parser.list("kinds"),
                parser.number("caps.idle-close", DEFAULT_SERVER_IDLE_TIMEOUT_MS),
                Math.max(1, (int) parser.number("caps.streams-per-conn", 1)));
    }

    private static List<InetSocketAddress> peers(JsonObject json) {
        List<InetSocketAddress> peers = new ArrayList<>();
        if (json.has("peers")) {
            json.getAsJsonArray("peers").forEach(peer -> peers.add(Addresses.parse(peer.getAsString())));
        }
        return List.copyOf(peers);
    }

    private static JsonElement required(JsonObject json, String key) {
        JsonElement value = json.get(key);
        if (value == null || value.isJsonNull()) {
            throw new IllegalArgumentException("'" + key + "' is missing");
        }
        return value;
    }

    private static double number(JsonObject json, String key, double defaultValue) {
        return json.has(key) ? json.get(key).getAsDouble() : defaultValue;
    }

    private static InetSocketAddress optionalAddress(JsonObject json, String key) {
        String text =
                json.has(key) && json.get(key).isJsonPrimitive() ? json.get(key).getAsString() : "";
        return text.isEmpty() ? null : Addresses.parse(text);
    }

    private static void flatten(String path, JsonElement value, Map<String, String> settings) {
        if (value.isJsonObject()) {
            value.getAsJsonObject().entrySet().forEach(entry -> {
                String key = entry.getKey();
                flatten(path.isEmpty() ? key : path + "." + key, entry.getValue(), settings);
            });
        } else if (value.isJsonArray()) {
            flattenArray(path, value.getAsJsonArray(), settings);
        } else if (value instanceof JsonPrimitive primitive) {
            settings.put(path, primitive.getAsString());
        }
    }

    /** Joins plain values with commas, and flattens objects to paths that contain their index. */
    private static void flattenArray(String path, Iterable<JsonElement> elements, Map<String, String> settings) {
        List<String> plainValues = new ArrayList<>();
        int index = 0;
        for (JsonElement element : elements) {
            if (element.isJsonPrimitive()) {
                plainValues.add(SettingNames.toSettingName(element.getAsString()));
            } else {
                flatten(path + "." + index, element, settings);
            }
            index++;
        }
        settings.put(path + ".count", Integer.toString(index));
        settings.put(path, String.join(",", plainValues));
    }
}
