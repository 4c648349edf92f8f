package cacheproxy.limits;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Estimates when servers last started, if no endpoint list reports it.
 *
 * <p>A server that is new in the configuration counts as just started. A server that refused a connection had no
 * running process, so it counts as restarted when it accepts one again. Times are Unix time in milliseconds. The number
 * of entries is bounded by the number of known servers.
 */
public final class ServerStartTimes {
    /** Start time of a server that has not been used yet; it begins to warm up with its first connection. */
    public static final double NOT_YET_USED_MS = 1e300;

    /** Start time of a server that has been running for a long time, or about which nothing is known. */
    private static final double LONG_AGO_MS = 0;

    private final Map<Integer, Double> startMsByServer = new HashMap<>();
    private final Set<Integer> down = new HashSet<>();

    /**
     * Returns a server's start time: 0 for long ago, {@link #NOT_YET_USED_MS} for a server that has not been used yet.
     */
    public double startMs(int server) {
        return startMsByServer.getOrDefault(server, LONG_AGO_MS);
    }

    /** Records a server that was added while the proxy runs. Servers of the first configuration count as warm. */
    public void added(int server, double nowMs) {
        startMsByServer.putIfAbsent(server, nowMs);
    }

    /** Records a server that is not used at first, such as a backup: its cache is no warmer than that of a new one. */
    public void addedUnused(int server) {
        startMsByServer.putIfAbsent(server, NOT_YET_USED_MS);
    }

    /** Removes all servers except these. */
    public void retainAll(Set<Integer> servers) {
        startMsByServer.keySet().retainAll(servers);
        down.retainAll(servers);
    }

    /**
     * Restores what an earlier process knew about a server. This can make the server warm up for longer, never for a
     * shorter time.
     *
     * @param startMs the known start time; 0 if there is none
     * @param wasDown whether the server refused connections when it was last tried
     */
    public void restore(int server, double startMs, boolean wasDown, double nowMs) {
        if (startMs > 0) {
            startMsByServer.merge(server, Math.min(startMs, nowMs), Math::max);
        }
        if (wasDown) {
            down.add(server);
        }
    }

    /** Returns a copy of the ids of all servers with a known start time and of those that are down. */
    public Set<Integer> knownServers() {
        Set<Integer> known = new HashSet<>(startMsByServer.keySet());
        known.addAll(down);
        return known;
    }

    /** Returns whether the server refused the last connection that was attempted. */
    public boolean isDown(int server) {
        return down.contains(server);
    }

    /** Records that the server has refused a connection. */
    public void connectionRefused(int server) {
        down.add(server);
    }

    /**
     * Records that the server has accepted a connection.
     *
     * @return whether the server has restarted since its last connection, or is used for the first time
     */
    public boolean connectionAccepted(int server, double nowMs) {
        boolean restarted = down.remove(server);
        if (!restarted && startMs(server) != NOT_YET_USED_MS) {
            return false;
        }
        startMsByServer.put(server, nowMs);
        return true;
    }
}
