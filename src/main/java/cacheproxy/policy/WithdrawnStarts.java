package cacheproxy.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Starts of servers that a later list has withdrawn while the servers were warming up: it has removed a server, or says
 * that it started earlier or long ago. Lists can be late or out of order, and a server does not become warm by them.
 */
final class WithdrawnStarts {
    /** Maximum number of servers; beyond it the one withdrawn first is forgotten. */
    private static final int MAX_SERVERS = 20_000;

    private final double warmUpMs;
    private final Map<Integer, Double> startedMs = new LinkedHashMap<>();

    /** @param warmUpMs for how long after its start a server warms up */
    WithdrawnStarts(double warmUpMs) {
        this.warmUpMs = warmUpMs;
    }

    /** Records a server's start, on the proxy's clock. */
    void add(double nowMs, int serverId, double serverStartedMs) {
        startedMs.values().removeIf(earlier -> nowMs - earlier >= warmUpMs);
        startedMs.merge(serverId, serverStartedMs, Math::max);
        if (startedMs.size() > MAX_SERVERS) {
            startedMs.remove(startedMs.keySet().iterator().next());
        }
    }

    /** Returns a server's latest withdrawn start; negative infinity if there is none. */
    double startedMs(int serverId) {
        return startedMs.isEmpty()
                ? Double.NEGATIVE_INFINITY
                : startedMs.getOrDefault(serverId, Double.NEGATIVE_INFINITY);
    }
}
