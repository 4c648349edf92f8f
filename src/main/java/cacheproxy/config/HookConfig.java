package cacheproxy.config;

import cacheproxy.hooks.HookModule;
import java.nio.file.Path;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * {@code [[hook]]}: a plug-in in WebAssembly.
 *
 * @param place position in the configuration file, for error messages
 * @param module path of the WebAssembly module
 * @param sha256 digest that the module must have; null if it is not checked
 * @param listeners names of the listeners whose requests the hook receives; empty for all
 * @param routes names of the routes whose requests the hook receives; empty for all
 * @param rejectOnFailure whether a request is rejected if the hook fails; otherwise it continues unchanged
 * @param retryAfterMs time after which clients may retry a request that the hook rejects
 * @param queueCapacity maximum number of waiting calls
 * @param breakerFailureRatio fraction of the calls that can fail before the circuit breaker opens
 * @param breakerOffMs how long the circuit breaker stays open
 * @param config text that is passed to the module when it is loaded
 */
public record HookConfig(
        String name,
        String place,
        Path module,
        String sha256,
        Set<String> listeners,
        Set<String> routes,
        int order,
        HookModule.Limits limits,
        boolean rejectOnFailure,
        double retryAfterMs,
        int queueCapacity,
        double breakerFailureRatio,
        double breakerOffMs,
        String config) {
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final int MAX_CONFIG_CHARS = 32_768;
    private static final int MAX_ORDER = 1_000_000;

    /** Reads one hook and adds its name to {@code names}. */
    static HookConfig read(TomlTableReader table, ConfigReferences references, Set<String> names) {
        String name = ConfigValues.uniqueName(table, names, "hook");
        Path module = references.resolvePath(table, "module", table.text("module"));
        String sha256 = table.text("sha256", null);
        if (sha256 != null && !SHA256.matcher(sha256).matches()) {
            table.error("sha256", "sha256 must be 64 lower-case hexadecimal digits");
        }
        Set<String> listeners = Set.copyOf(table.references("listener", references.listeners(), "listener"));
        table.references("route", references.routes(), "route");
        HookConfig hook = new HookConfig(
                name,
                place(table, references),
                module,
                sha256,
                listeners,
                Set.copyOf(table.texts("route")),
                table.integer("order", 0, -MAX_ORDER, MAX_ORDER),
                readLimits(table),
                table.oneOf("on_failure", "skip", "skip", "refuse").equals("refuse"),
                table.number("refuse_ms", 100, 1, ConfigValues.HOUR_MS),
                table.integer("queue", 256, 1, 65_536),
                table.number("breaker_share", 0.5, 0, 1),
                table.number("breaker_off_ms", 5000, 1, ConfigValues.HOUR_MS),
                table.text("config", ""));
        if (hook.config.length() > MAX_CONFIG_CHARS) {
            table.error("config", "config has more than " + MAX_CONFIG_CHARS + " characters");
        }
        table.rejectUnknownKeys();
        return hook;
    }

    private static String place(TomlTableReader table, ConfigReferences references) {
        return references.file() + ":" + table.positionOf("name").line() + ":"
                + table.positionOf("name").column();
    }

    private static HookModule.Limits readLimits(TomlTableReader table) {
        return new HookModule.Limits(
                table.integer("memory_pages", 16, 1, 1024),
                (long) table.number("fuel", 200_000, 1000, 1e9),
                (long) table.number("load_fuel", 10_000_000, 1000, 1e10),
                table.number("time_ms", 50, 1, 10_000),
                table.flag("compiled", true));
    }
}
