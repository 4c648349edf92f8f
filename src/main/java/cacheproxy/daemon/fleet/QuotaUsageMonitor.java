package cacheproxy.daemon.fleet;

import cacheproxy.fleet.quota.QuotaStatus;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Measures the use of each quota per second, and logs when a quota becomes isolated from the other proxies. */
final class QuotaUsageMonitor {
    /** The longest time over which a rate is measured, in seconds. */
    private static final double MAX_SECONDS = 10;

    private static final double MS_PER_SECOND = 1000;

    /** The counts of a quota at the last measurement, and the rates between the last two measurements. */
    private static final class Usage {
        long consumed;
        long rejected;
        long consumedPerSecond;
        long rejectedPerSecond;
    }

    private final Consumer<String> log;
    private final Map<String, Usage> usages = new HashMap<>();
    private final Map<String, Double> isolatedSinceMs = new LinkedHashMap<>();
    private double measuredMs = Double.NEGATIVE_INFINITY;

    QuotaUsageMonitor(Consumer<String> log) {
        this.log = log;
    }

    /** Returns the time of the last measurement; negative infinity if there has been none. */
    double measuredMs() {
        return measuredMs;
    }

    /** Measures all quotas, and discards the measurements of quotas with other names. */
    void measure(List<QuotaStatus> statuses, Set<String> names, double nowMs) {
        double seconds = Math.min(MAX_SECONDS, (nowMs - measuredMs) / MS_PER_SECOND);
        measuredMs = nowMs;
        for (QuotaStatus status : statuses) {
            measureRates(status, seconds);
            logIsolation(status, nowMs);
        }
        usages.keySet().retainAll(names);
    }

    private void measureRates(QuotaStatus status, double seconds) {
        Usage usage = usages.computeIfAbsent(status.spec().name(), name -> new Usage());
        usage.consumedPerSecond = Math.round((status.consumed() - usage.consumed) / seconds);
        usage.rejectedPerSecond = Math.round((status.rejected() - usage.rejected) / seconds);
        usage.consumed = status.consumed();
        usage.rejected = status.rejected();
    }

    private void logIsolation(QuotaStatus status, double nowMs) {
        String name = status.spec().name();
        boolean isIsolated = !Double.isNaN(status.isolatedSinceMs());
        Double sinceMs = isolatedSinceMs.get(name);
        if (isIsolated && sinceMs == null) {
            isolatedSinceMs.put(name, status.isolatedSinceMs());
            log.accept("limit " + name + " alone: no other proxy responds; this one admits "
                    + String.format(Locale.ROOT, "%.1f", status.capacity())
                    + (status.spec().concurrent() ? " at once" : " a second"));
        } else if (!isIsolated && sinceMs != null) {
            isolatedSinceMs.remove(name);
            log.accept("limit " + name + " no longer alone after " + Math.round(nowMs - sinceMs) + " ms");
        }
    }

    /** Returns how much of a quota was consumed per second. */
    long consumedPerSecond(String name) {
        Usage usage = usages.get(name);
        return usage == null ? 0 : usage.consumedPerSecond;
    }

    /** Returns how many requests a quota rejected per second. */
    long rejectedPerSecond(String name) {
        Usage usage = usages.get(name);
        return usage == null ? 0 : usage.rejectedPerSecond;
    }
}
