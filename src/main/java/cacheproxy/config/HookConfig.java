package cacheproxy.config;

import cacheproxy.hooks.HookModule;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * {@code [[hook]]}: plug-ins in WebAssembly.
 *
 * @param hooks in the order in which they are called
 */
public record HookConfig(List<Hook> hooks) {
    /** Each has a thread. */
    private static final int MAX_HOOKS = 16;

    private static final int MAX_CONFIG = 32_768;

    /**
     * A plug-in.
     *
     * @param at place in the file, for errors
     * @param module path of the WebAssembly module
     * @param sha256 what it must be; null: not checked
     * @param listeners whose requests it gets; empty: all
     * @param routes whose requests it gets, by the routes' names; empty: all
     * @param refuse whether a request is refused where it fails; else it goes on as it was
     * @param queue calls that may wait
     * @param breakerShare of calls that may fail before it is switched off
     */
    public record Hook(
            String name,
            String at,
            Path module,
            String sha256,
            Set<String> listeners,
            Set<String> routes,
            int order,
            HookModule.Limits limits,
            boolean refuse,
            double refuseMs,
            int queue,
            double breakerShare,
            double breakerOffMs,
            String config) {}

    /** Those of a file. */
    public static List<Hook> of(DaemonConfig file) {
        HookConfig s = file.part(HookConfig.class);
        return s == null ? List.of() : s.hooks;
    }

    static HookConfig read(TomlTableReader root, DaemonConfigReader.Known known) {
        List<Hook> hooks = new ArrayList<>();
        Set<String> names = new HashSet<>();
        root.sections("hook").forEach(h -> hooks.add(hook(known, h, names)));
        if (hooks.size() > MAX_HOOKS) {
            known.errors().add(null, hooks.size() + " hooks; at most " + MAX_HOOKS);
        }
        hooks.sort(Comparator.comparingInt(Hook::order));
        return hooks.isEmpty() ? null : new HookConfig(List.copyOf(hooks));
    }

    private static Hook hook(DaemonConfigReader.Known known, TomlTableReader s, Set<String> names) {
        String name = DaemonConfigReader.name(s, names, "hook");
        String text = s.text("module");
        Path module = known.beside(s, "module", text);
        String digest = s.text("sha256", null);
        if (digest != null && !digest.matches("[0-9a-f]{64}")) {
            s.error("sha256", "sha256 is 64 lower-case hexadecimal digits");
        }
        Set<String> from = new HashSet<>();
        for (String l : s.texts("listener")) {
            from.add(l);
            if (!known.listeners().contains(l)) {
                s.error(
                        "listener",
                        "there is no listener '" + l + "'; there are: "
                                + String.join(", ", DaemonConfigReader.sorted(known.listeners())));
            }
        }
        for (String r : s.texts("route")) {
            if (!known.routes().contains(r)) {
                s.error(
                        "route",
                        "there is no route '" + r + "'; there are: "
                                + String.join(", ", DaemonConfigReader.sorted(known.routes())));
            }
        }
        double fuel = s.number("fuel", 200_000, 1000, 1e9);
        HookModule.Limits limits = new HookModule.Limits(
                s.integer("memory_pages", 16, 1, 1024),
                (long) fuel,
                (long) s.number("load_fuel", 10_000_000, 1000, 1e10),
                s.number("time_ms", 50, 1, 10_000),
                s.flag("compiled", true));
        Hook hook = new Hook(
                name,
                known.file() + ":" + s.at("name").line() + ":" + s.at("name").column(),
                module,
                digest,
                from,
                Set.copyOf(s.texts("route")),
                s.integer("order", 0, -1_000_000, 1_000_000),
                limits,
                s.oneOf("on_failure", "skip", "skip", "refuse").equals("refuse"),
                s.number("refuse_ms", 100, 1, DaemonConfigReader.HOUR_MS),
                s.integer("queue", 256, 1, 65_536),
                s.number("breaker_share", 0.5, 0, 1),
                s.number("breaker_off_ms", 5000, 1, DaemonConfigReader.HOUR_MS),
                s.text("config", ""));
        if (hook.config().length() > MAX_CONFIG) {
            s.error("config", "config has more than " + MAX_CONFIG + " characters");
        }
        s.end();
        return hook;
    }
}
