package cacheproxy.fleet.healthcheck;

import java.util.HashMap;
import java.util.Map;

/** Results of this proxy's latest checks, which others are told without another check. */
final class RecentChecks {
    /**
     * A check that has ended.
     *
     * @param finishedMs when
     * @param healthy whether the server answered
     */
    record FinishedCheck(double finishedMs, boolean healthy) {}

    private final int maxServers;
    private final Map<Integer, FinishedCheck> checks = new HashMap<>();

    RecentChecks(int maxServers) {
        this.maxServers = maxServers;
    }

    /** Keeps a check; where there is no place for it, it is not reused. */
    void add(int server, FinishedCheck check, double reuseMs) {
        if (checks.size() >= maxServers) {
            checks.values().removeIf(old -> check.finishedMs - old.finishedMs > reuseMs);
        }
        if (checks.size() < maxServers) {
            checks.put(server, check);
        }
    }

    /** The last check of a server that is no older than {@code reuseMs}; null if there is none. */
    FinishedCheck find(int server, double nowMs, double reuseMs) {
        FinishedCheck check = checks.get(server);
        return check != null && nowMs - check.finishedMs <= reuseMs ? check : null;
    }
}
