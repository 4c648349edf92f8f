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

    /** Over values by path, as the real proxy's configuration has them once flattened. */
    public SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /** Over path=value lines, as the simulator sends them. */
    static SettingsParser ofLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n", 0)) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                values.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            }
        }
        return new SettingsParser(values);
    }

    /** The settings as the module takes them; a SimulatorProtocolException names what is missing or wrong. */
    @SuppressWarnings("EnumOrdinal") // the order of declaration is the code on the wire, pinned by golden tests
    public PolicySettings settings() {
        List<String> zones = list("zones");
        List<String> kinds = list("kinds");
        return new PolicySettings(
                integer("me"),
                integer("balancers"),
                integer("locality"),
                zones.size(),
                kinds.size(),
                oneOf("discovery", "push", "ask") == 1,
                values.containsKey("extra.mode") && oneOf("extra.mode", "through", "aside") == 1,
                (int) number("extra.origin-kind", -1),
                LoadReportSource.values()[oneOf("report.how", "silent", "piggyback", "pull")],
                list("report.names"),
                oneOf("value-by", "request", "work") == 1,
                number("over-share-worth", 1),
                flag("caps.may-cancel"),
                flag("caps.may-probe"),
                flag("caps.peers"),
                flag("caps.second-copies"),
                flag("caps.retry-after"),
                integer("caps.max-attempts"),
                number("caps.max-retry-after", 0),
                number("caps.connect-timeout"),
                number("guarantees.drain-grace"),
                number("guarantees.grace-to-answer"),
                number("guarantees.start-capacity"),
                number("guarantees.warm-up"),
                number("guarantees.tip-multiple"),
                number("guarantees.fall"),
                number("guarantees.ask-within", 0),
                number("extra.origin-fall-multiple", 0),
                number("extra.origin-fall", 0),
                classes(),
                tenants());
    }

    @SuppressWarnings("EnumOrdinal") // the order of declaration is the code on the wire, pinned by golden tests
    private List<ServiceClass> classes() {
        List<ServiceClass> result = new ArrayList<>();
        for (int i = 0; i < integer("classes.count"); i++) {
            String p = "classes." + i + ".";
            Idempotency effect = Idempotency.values()[oneOf(p + "idempotency", "retryable", "dedup", "fragile")];
            boolean keyed = effect == Idempotency.DEDUPLICATED;
            result.add(new ServiceClass(
                    text(p + "name"),
                    effect,
                    keyed
                            ? DeduplicationScope.values()[oneOf(p + "group", "all", "zone", "cell")]
                            : DeduplicationScope.ALL,
                    keyed ? number(p + "window") : 0,
                    number(p + "promise"),
                    number(p + "deadline"),
                    number(p + "gain", 1),
                    number(p + "late-share", 0),
                    flag(p + "stream")));
        }
        return result;
    }

    private List<Tenant> tenants() {
        List<Tenant> result = new ArrayList<>();
        for (int i = 0; i < (int) number("tenants.count", 0); i++) {
            String p = "tenants." + i + ".";
            result.add(new Tenant(text(p + "name"), number(p + "fraction", 0), number(p + "quota-per-s", 0)));
        }
        return result;
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
            // told below, with the key
        }
        throw new SimulatorProtocolException("setting '" + key + "' is not a number: " + values.get(key));
    }

    /** A number, or this one where the key is absent. */
    public double number(String key, double absent) {
        return values.containsKey(key) ? number(key) : absent;
    }

    private int integer(String key) {
        return (int) number(key);
    }

    private boolean flag(String key) {
        return oneOf(key, "false", "true") == 1;
    }

    /** A list of plain values; empty where the key is absent. */
    public List<String> list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(",", 0));
    }

    private int oneOf(String key, String... words) {
        int i = List.of(words).indexOf(text(key));
        if (i < 0) {
            throw new SimulatorProtocolException(
                    "setting '" + key + "' is none of " + String.join(", ", words) + ": " + text(key));
        }
        return i;
    }
}
