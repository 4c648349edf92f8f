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
    public static final double UNUSED = 1e300;

    private final Map<Integer, Double> born = new HashMap<>();
    private final Set<Integer> down = new HashSet<>();

    /** 0: long ago. */
    public double of(int server) {
        return born.getOrDefault(server, 0.0);
    }

    /** A server that was there before we were is taken for warm; one that comes later is not. */
    public void added(int server, double now) {
        born.putIfAbsent(server, now);
    }

    /** A server that has had nothing to do so far, such as a backup: what it holds is no better than a new one's. */
    public void unused(int server) {
        born.putIfAbsent(server, UNUSED);
    }

    /** Forgets all but these. */
    public void keep(Set<Integer> servers) {
        born.keySet().retainAll(servers);
        down.retainAll(servers);
    }

    /**
     * What an earlier process knew of a start, or that the server was down when it looked last. It may make a server
     * cold for longer, never warm sooner.
     */
    public void recall(int server, double bornMs, boolean wasDown, double now) {
        if (bornMs > 0) {
            born.merge(server, Math.min(bornMs, now), Math::max);
        }
        if (wasDown) {
            down.add(server);
        }
    }

    /** Servers of which a start is known, and those that are down. */
    public Set<Integer> known() {
        Set<Integer> known = new HashSet<>(born.keySet());
        known.addAll(down);
        return known;
    }

    /** Whether it refused connections when one was last tried. */
    public boolean isDown(int server) {
        return down.contains(server);
    }

    /** It refused a connection. */
    public void refused(int server) {
        down.add(server);
    }

    /** It took a connection; true if it has started since it was last known to run, or is used for the first time. */
    public boolean connected(int server, double now) {
        if (!down.remove(server) && of(server) != UNUSED) {
            return false;
        }
        born.put(server, now);
        return true;
    }
}
