package cacheproxy.proxy.process;

import cacheproxy.config.Addresses;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.upstream.EventLoopLimits;
import cacheproxy.simulator.SettingsParser;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the proxy is told at its start. Settings are read by the adapter's own parser, from the same paths and values;
 * addresses are literal, as there is no DNS.
 */
public record PlatformConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        double cores,
        int memoryMb,
        int maxSockets,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        InetSocketAddress control,
        Boolean eventLog,
        JsonObject initialHosts,
        PolicySettings settings,
        List<String> zones,
        List<String> kinds,
        double idleCloseMs,
        int streamsPerConnection) {

    /**
     * Memory of values, as buffers may take no more than a bound on the platform's command line, which leaves room for
     * what is being read and written.
     */
    private static final long MAX_VALUE_BYTES = 10 << 20;
    /** A third of the sockets is for servers. */
    private static final int SERVER_SOCKETS_DIVISOR = 3;
    /** An eighth of the memory is for clients' values. */
    private static final int VALUE_MEMORY_DIVISOR = 8;

    /** The limits of the process's one event loop. */
    EventLoopLimits eventLoopLimits() {
        long valueBytes = Math.min(((long) memoryMb << 20) / VALUE_MEMORY_DIVISOR, MAX_VALUE_BYTES);
        return new EventLoopLimits(valueBytes, maxSockets / SERVER_SOCKETS_DIVISOR, false);
    }

    /** Reads the file; an IllegalArgumentException says in one line what is wrong. */
    static PlatformConfig read(String path) {
        if (path == null || path.isEmpty()) {
            throw new IllegalArgumentException("BALANCER_CONFIG names no file");
        }
        try {
            return parse(JsonParser.parseString(Files.readString(Path.of(path))).getAsJsonObject());
        } catch (Exception e) {
            String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new IllegalArgumentException("configuration " + path + ": "
                    + (e instanceof IllegalArgumentException ? "" : e.getClass().getSimpleName() + " ") + message);
        }
    }

    public static PlatformConfig parse(JsonObject json) {
        Map<String, String> values = new HashMap<>();
        flatten("", need(json, "settings"), values);
        SettingsParser parser = new SettingsParser(values);
        JsonObject limits = json.has("limits") ? json.getAsJsonObject("limits") : new JsonObject();
        List<InetSocketAddress> peers = new ArrayList<>();
        if (json.has("peers")) {
            json.getAsJsonArray("peers").forEach(p -> peers.add(Addresses.parse(p.getAsString())));
        }
        return new PlatformConfig(
                json.has("name") ? json.get("name").getAsString() : "proxy",
                Addresses.parse(need(json, "listen").getAsString()),
                Addresses.parse(need(json, "discovery").getAsString()),
                Long.parseUnsignedLong(need(json, "seed").getAsString(), 16),
                number(limits, "cores", 1),
                (int) number(limits, "memory_mb", 192),
                (int) number(limits, "sockets", 1024),
                optionalAddress(json, "peer_listen"),
                List.copyOf(peers),
                optionalAddress(json, "peers_all"),
                optionalAddress(json, "control"),
                json.has("event_log") ? json.get("event_log").getAsBoolean() : null,
                json.has("known") ? json.getAsJsonObject("known") : null,
                parser.settings(),
                parser.list("zones"),
                parser.list("kinds"),
                parser.number("caps.idle-close", 15_000),
                Math.max(1, (int) parser.number("caps.streams-per-conn", 1)));
    }

    /**
     * The same with all that a platform may configure, on ports of the system's choice. The listening one is chosen
     * now: it names the path of the handover, which another build at the same time must not have.
     */
    PlatformConfig forTraining() throws IOException {
        InetSocketAddress any = new InetSocketAddress(listen.getAddress(), 0);
        InetSocketAddress chosen;
        try (ServerSocket free = new ServerSocket()) {
            free.bind(any);
            chosen = (InetSocketAddress) free.getLocalSocketAddress();
        }
        return new PlatformConfig(
                name,
                chosen,
                discovery,
                seed,
                cores,
                memoryMb,
                maxSockets,
                any,
                peers,
                peersAll,
                any,
                eventLog,
                initialHosts,
                settings,
                zones,
                kinds,
                idleCloseMs,
                streamsPerConnection);
    }

    private static JsonElement need(JsonObject json, String key) {
        JsonElement value = json.get(key);
        if (value == null || value.isJsonNull()) {
            throw new IllegalArgumentException("'" + key + "' is missing");
        }
        return value;
    }

    private static double number(JsonObject json, String key, double absent) {
        return json.has(key) ? json.get(key).getAsDouble() : absent;
    }

    private static InetSocketAddress optionalAddress(JsonObject json, String key) {
        String text =
                json.has(key) && json.get(key).isJsonPrimitive() ? json.get(key).getAsString() : "";
        return text.isEmpty() ? null : Addresses.parse(text);
    }

    /** The simulator's form: lists of plain values joined by commas, lists of objects counted and numbered. */
    private static void flatten(String path, JsonElement value, Map<String, String> out) {
        if (value.isJsonObject()) {
            value.getAsJsonObject()
                    .entrySet()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), out));
        } else if (value.isJsonArray()) {
            List<String> plain = new ArrayList<>();
            int i = 0;
            for (JsonElement e : value.getAsJsonArray()) {
                if (e.isJsonPrimitive()) {
                    plain.add(toSettingName(e.getAsString()));
                } else {
                    flatten(path + "." + i, e, out);
                }
                i++;
            }
            out.put(path + ".count", Integer.toString(i));
            out.put(path, String.join(",", plain));
        } else if (value instanceof JsonPrimitive p) {
            out.put(path, p.getAsString());
        }
    }

    public static String toSettingName(String text) {
        return text.replace(' ', '_').replace(',', '_');
    }
}
