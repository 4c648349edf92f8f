package cacheproxy.fleet.healthcheck;

import java.util.HashMap;
import java.util.Map;

/** Results of this proxy's latest checks, which are sent to other proxies without another check. */
final class RecentChecks {
    /**
     * A check that has ended.
     *
     * @param finishedMs when it ended
     * @param healthy whether the server answered
     */
    record FinishedCheck(double finishedMs, boolean healthy) {}

    private final int maxServers;
    private final Map<Integer, FinishedCheck> checks = new HashMap<>();

    RecentChecks(int maxServers) {
        this.maxServers = maxServers;
    }

    /** Adds a check; if there is no room for it, it is not reused. */
    void add(int server, FinishedCheck check, double reuseMs) {
        if (checks.size() >= maxServers) {
            checks.values().removeIf(old -> check.finishedMs - old.finishedMs > reuseMs);
        }
        if (checks.size() < maxServers) {
            checks.put(server, check);
        }
    }

    /** Returns the last check of a server if it is no older than {@code reuseMs}; otherwise null. */
    FinishedCheck find(int server, double nowMs, double reuseMs) {
        FinishedCheck check = checks.get(server);
        return check != null && nowMs - check.finishedMs <= reuseMs ? check : null;
    }
}
