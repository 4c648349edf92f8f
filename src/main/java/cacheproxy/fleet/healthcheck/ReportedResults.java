package cacheproxy.fleet.healthcheck;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps what other proxies have reported about each server, and decides whether to rely on their next report: they may
 * reach a server that this proxy does not reach, or the reverse.
 */
final class ReportedResults {
    private static final class History {
        int consecutiveFailures;
        double healthyAtMs = Double.NEGATIVE_INFINITY;
    }

    private final int maxServers;
    private final Map<Integer, History> histories = new HashMap<>();

    ReportedResults(int maxServers) {
        this.maxServers = maxServers;
    }

    /** Records a report that is used. */
    void add(int server, boolean healthy, double nowMs) {
        if (histories.size() >= maxServers) {
            histories.clear(); // all servers then count as new: their reports are trusted, within the same limits
        }
        History history = histories.computeIfAbsent(server, newServer -> new History());
        history.consecutiveFailures = healthy ? 0 : history.consecutiveFailures + 1;
        history.healthyAtMs = healthy ? nowMs : Double.NEGATIVE_INFINITY;
    }

    /** Forgets the reports about a server that this proxy has checked itself. */
    void clear(int server) {
        histories.remove(server);
    }

    /**
     * Returns whether reports contradict what this proxy observes, or whether several reported failures have not been
     * confirmed by a check of this proxy.
     */
    boolean isUnreliableFor(int server, double nowMs) {
        History history = histories.get(server);
        return history != null
                && (history.consecutiveFailures >= HealthCheckTiming.OWN_CHECK_EVERY - 1
                        || nowMs - history.healthyAtMs < HealthCheckTiming.CONTRADICTION_WINDOW_MS);
    }
}
