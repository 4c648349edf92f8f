package cacheproxy.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * All {@code [[hook]]} tables of a file.
 *
 * @param hooks in the order in which they are called
 */
public record HooksConfig(List<HookConfig> hooks) {
    /** Maximum number of hooks; each has a thread of its own. */
    private static final int MAX_HOOKS = 16;

    /** Returns the hooks of a file; empty if it has none. */
    public static List<HookConfig> of(DaemonConfig file) {
        HooksConfig section = file.section(HooksConfig.class);
        return section == null ? List.of() : section.hooks;
    }

    /** Reads all hooks; returns null if the file has none. */
    static HooksConfig read(TomlTableReader root, ConfigReferences references) {
        List<HookConfig> hooks = new ArrayList<>();
        Set<String> names = new HashSet<>();
        root.tables("hook").forEach(table -> hooks.add(HookConfig.read(table, references, names)));
        if (hooks.size() > MAX_HOOKS) {
            references.errors().add(null, hooks.size() + " hooks; at most " + MAX_HOOKS);
        }
        hooks.sort(Comparator.comparingInt(HookConfig::order));
        return hooks.isEmpty() ? null : new HooksConfig(List.copyOf(hooks));
    }
}
