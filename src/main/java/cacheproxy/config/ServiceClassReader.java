package cacheproxy.config;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads the service classes ({@code [[class]]}) and the tenants ({@code [[tenant]]}). */
final class ServiceClassReader {
    private ServiceClassReader() {}

    /** Reads all service classes, in the order of the file. */
    static List<ServiceClass> readClasses(TomlTableReader root) {
        List<ServiceClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        root.tables("class").forEach(table -> classes.add(readClass(table, names)));
        return classes;
    }

    private static ServiceClass readClass(TomlTableReader table, Set<String> names) {
        String name = ConfigValues.uniqueName(table, names, "class");
        Idempotency effect = readEffect(table, name);
        double deadlineMs = table.number("deadline_ms", 1000, 1, ConfigValues.HOUR_MS);
        double aimMs = table.number("aim_ms", deadlineMs / 2, 1, ConfigValues.HOUR_MS);
        if (aimMs > deadlineMs) {
            table.error(
                    "aim_ms", "aim_ms is " + (long) aimMs + ", more than the deadline; at most " + (long) deadlineMs);
        }
        double windowMs = table.number("window_ms", 0, 1, ConfigValues.HOUR_MS);
        if (effect == Idempotency.DEDUPLICATED && windowMs == 0) {
            table.error("effect", "a keyed class needs window_ms, the time for which servers drop repeats");
        }
        ServiceClass serviceClass = new ServiceClass(
                name,
                effect,
                DeduplicationScope.ALL,
                effect == Idempotency.DEDUPLICATED ? windowMs : 0,
                aimMs,
                deadlineMs,
                table.number("worth", 1, 0, 1e6),
                table.number("late_share", 0.3, 0, 1),
                table.flag("stream", false));
        table.rejectUnknownKeys();
        return serviceClass;
    }

    private static Idempotency readEffect(TomlTableReader table, String className) {
        String effect = table.oneOf("effect", "unsafe", "safe", "keyed", "unsafe");
        if (!table.has("effect")) {
            table.error(
                    "name",
                    "class " + className + " has no effect; allowed: safe (may be repeated), keyed (servers drop "
                            + "repeats), unsafe (must never run twice)");
        }
        return switch (effect) {
            case "keyed" -> Idempotency.DEDUPLICATED;
            case "safe" -> Idempotency.IDEMPOTENT;
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    /** Reads all tenants, in the order of the file. */
    static List<Tenant> readTenants(TomlTableReader root) {
        List<Tenant> tenants = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlTableReader table : root.tables("tenant")) {
            tenants.add(new Tenant(
                    ConfigValues.uniqueName(table, names, "tenant"),
                    table.number("share", 1, 0, 1e9),
                    table.number("per_second", 1, 0.001, 1e9)));
            table.rejectUnknownKeys();
        }
        return tenants;
    }
}
