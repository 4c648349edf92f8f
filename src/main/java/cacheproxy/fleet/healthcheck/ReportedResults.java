package cacheproxy.fleet.healthcheck;

import java.util.HashMap;
import java.util.Map;

/**
 * What others have reported of each server, and whether to rely on their next report: they may reach a server that this
 * proxy does not, or the reverse.
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

    /** Takes a report that is used. */
    void add(int server, boolean healthy, double nowMs) {
        if (histories.size() >= maxServers) {
            histories.clear(); // as if all were new: reports are trusted, within the same limits
        }
        History history = histories.computeIfAbsent(server, newServer -> new History());
        history.consecutiveFailures = healthy ? 0 : history.consecutiveFailures + 1;
        history.healthyAtMs = healthy ? nowMs : Double.NEGATIVE_INFINITY;
    }

    /** Forgets the reports on a server that this proxy has checked by itself. */
    void clear(int server) {
        histories.remove(server);
    }

    /** Whether reports contradict what is observed here, or no check of this proxy has confirmed them for long. */
    boolean isUnreliableFor(int server, double nowMs) {
        History history = histories.get(server);
        return history != null
                && (history.consecutiveFailures >= HealthCheckTiming.OWN_CHECK_EVERY - 1
                        || nowMs - history.healthyAtMs < HealthCheckTiming.CONTRADICTION_WINDOW_MS);
    }
}
