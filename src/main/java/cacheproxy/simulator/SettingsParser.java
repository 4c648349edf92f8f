package cacheproxy.simulator;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.LoadReportSource;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads an instance's settings from their paths and values; unknown paths are skipped. */
public final class SettingsParser {
    private final Map<String, String> values;

    /** @param values by path, as the proxy's configuration has them once flattened */
    public SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /** Returns a parser of {@code path=value} lines, as the simulator sends them; other lines are skipped. */
    static SettingsParser ofLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n", 0)) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator).trim(),
                        line.substring(separator + 1).trim());
            }
        }
        return new SettingsParser(values);
    }

    /**
     * Returns the settings as a policy takes them.
     *
     * @throws SimulatorProtocolException if one is missing or malformed, with its path
     */
    @SuppressWarnings("EnumOrdinal") // the order of declaration is the code on the wire, pinned by golden tests
    public PolicySettings settings() {
        List<String> zones = list("zones");
        List<String> kinds = list("kinds");
        return PolicySettings.builder()
                .instanceIndex(integer("me"))
                .instanceCount(integer("balancers"))
                .zone(integer("locality"))
                .zoneCount(zones.size())
                .kindCount(kinds.size())
                .pollsDiscovery(oneOf("discovery", "push", "ask") == 1)
                .cacheAside(values.containsKey("extra.mode") && oneOf("extra.mode", "through", "aside") == 1)
                .originKind((int) number("extra.origin-kind", -1))
                .loadReportSource(LoadReportSource.values()[oneOf("report.how", "silent", "piggyback", "pull")])
                .loadReportFields(list("report.names"))
                .valueByWork(oneOf("value-by", "request", "work") == 1)
                .overQuotaValueFraction(number("over-share-worth", 1))
                .cancellationAllowed(flag("caps.may-cancel"))
                .probingAllowed(flag("caps.may-probe"))
                .peerMessagesAllowed(flag("caps.peers"))
                .hedgingAllowed(flag("caps.second-copies"))
                .retryAfterAllowed(flag("caps.retry-after"))
                .maxAttempts(integer("caps.max-attempts"))
                .maxRetryAfterMs(number("caps.max-retry-after", 0))
                .connectTimeoutMs(number("caps.connect-timeout"))
                .drainGraceMs(number("guarantees.drain-grace"))
                .responseGraceMs(number("guarantees.grace-to-answer"))
                .initialCapacityFraction(number("guarantees.start-capacity"))
                .warmUpMs(number("guarantees.warm-up"))
                .collapseLoadMultiple(number("guarantees.tip-multiple"))
                .collapseAfterMs(number("guarantees.fall"))
                .maxPollAgeMs(number("guarantees.ask-within", 0))
                .originCollapseLoadMultiple(number("extra.origin-fall-multiple", 0))
                .originCollapseAfterMs(number("extra.origin-fall", 0))
                .classes(classes())
                .tenants(tenants())
                .build();
    }

    private List<ServiceClass> classes() {
        List<ServiceClass> classes = new ArrayList<>();
        for (int i = 0; i < integer("classes.count"); i++) {
            classes.add(serviceClass("classes." + i + "."));
        }
        return classes;
    }

    @SuppressWarnings("EnumOrdinal") // the order of declaration is the code on the wire, pinned by golden tests
    private ServiceClass serviceClass(String prefix) {
        String name = text(prefix + "name");
        Idempotency idempotency = Idempotency.values()[oneOf(prefix + "idempotency", "retryable", "dedup", "fragile")];
        DeduplicationScope scope = DeduplicationScope.ALL;
        double windowMs = 0;
        if (idempotency == Idempotency.DEDUPLICATED) {
            scope = DeduplicationScope.values()[oneOf(prefix + "group", "all", "zone", "cell")];
            windowMs = number(prefix + "window");
        }
        return new ServiceClass(
                name,
                idempotency,
                scope,
                windowMs,
                number(prefix + "promise"),
                number(prefix + "deadline"),
                number(prefix + "gain", 1),
                number(prefix + "late-share", 0),
                flag(prefix + "stream"));
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) number("tenants.count", 0); i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(new Tenant(
                    text(prefix + "name"), number(prefix + "fraction", 0), number(prefix + "quota-per-s", 0)));
        }
        return tenants;
    }

    private String text(String key) {
        String value = values.get(key);
        if (value == null) {
            throw new SimulatorProtocolException("setting '" + key + "' is missing");
        }
        return value;
    }

    private double number(String key) {
        try {
            double value = Double.parseDouble(text(key));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below, with the key
        }
        throw new SimulatorProtocolException("setting '" + key + "' is not a number: " + values.get(key));
    }

    /**
     * Returns a number, or a default where the key is absent.
     *
     * @throws SimulatorProtocolException if the value is not a finite number
     */
    public double number(String key, double defaultValue) {
        return values.containsKey(key) ? number(key) : defaultValue;
    }

    private int integer(String key) {
        return (int) number(key);
    }

    private boolean flag(String key) {
        return oneOf(key, "false", "true") == 1;
    }

    /** Returns a list of texts, which commas separate; empty where the key is absent. */
    public List<String> list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(",", 0));
    }

    /** Returns the index of the value among those that it may have. */
    private int oneOf(String key, String... allowed) {
        int index = List.of(allowed).indexOf(text(key));
        if (index < 0) {
            throw new SimulatorProtocolException(
                    "setting '" + key + "' is none of " + String.join(", ", allowed) + ": " + text(key));
        }
        return index;
    }
}
