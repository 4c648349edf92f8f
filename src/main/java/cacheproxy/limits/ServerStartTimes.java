package cacheproxy.limits;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * When servers last started, where no list tells. A server that is new in the file is new; one that refused connections
 * had no process, so that it has started anew when it takes them again. Free of clocks; Unix time in milliseconds. As
 * many entries as servers are known.
 */
public final class ServerStartTimes {
    /** A start that is still to come: the server is cold, and stays so until it is first used. */
    public static final double NOT_YET_USED_MS = 1e300;

    private final Map<Integer, Double> startMsByServer = new HashMap<>();
    private final Set<Integer> down = new HashSet<>();

    /** 0: long ago. */
    public double startMs(int server) {
        return startMsByServer.getOrDefault(server, 0.0);
    }

    /** A server that was there before we were is taken for warm; one that comes later is not. */
    public void added(int server, double nowMs) {
        startMsByServer.putIfAbsent(server, nowMs);
    }

    /** A server that has had nothing to do so far, such as a backup: what it holds is no better than a new one's. */
    public void addedUnused(int server) {
        startMsByServer.putIfAbsent(server, NOT_YET_USED_MS);
    }

    /** Forgets all but these. */
    public void retainAll(Set<Integer> servers) {
        startMsByServer.keySet().retainAll(servers);
        down.retainAll(servers);
    }

    /**
     * What an earlier process knew of a start, or that the server was down when it looked last. It may make a server
     * cold for longer, never warm sooner.
     */
    public void restore(int server, double startMs, boolean wasDown, double nowMs) {
        if (startMs > 0) {
            startMsByServer.merge(server, Math.min(startMs, nowMs), Math::max);
        }
        if (wasDown) {
            down.add(server);
        }
    }

    /** Servers of which a start is known, and those that are down. */
    public Set<Integer> knownServers() {
        Set<Integer> known = new HashSet<>(startMsByServer.keySet());
        known.addAll(down);
        return known;
    }

    /** Whether it refused connections when one was last tried. */
    public boolean isDown(int server) {
        return down.contains(server);
    }

    /** It refused a connection. */
    public void connectionRefused(int server) {
        down.add(server);
    }

    /** It took a connection; true if it has started since it was last known to run, or is used for the first time. */
    public boolean connectionAccepted(int server, double nowMs) {
        if (!down.remove(server) && startMs(server) != NOT_YET_USED_MS) {
            return false;
        }
        startMsByServer.put(server, nowMs);
        return true;
    }
}
