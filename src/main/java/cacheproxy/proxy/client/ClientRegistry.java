package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The clients of all listeners of one event loop, and the bound on them. */
public final class ClientRegistry {
    private final EventLoopContext core;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();

    /** @param max connections of clients; one that has stood idle makes room for a new one */
    public ClientRegistry(EventLoopContext core, int max) {
        this.core = core;
        this.maxConnections = max;
    }

    void add(Listener listener) {
        listeners.add(listener);
    }

    void remove(Listener listener) {
        listeners.remove(listener);
    }

    /**
     * A connection that the kernel has accepted counts as taken, so where there are too many the one that has stood
     * idle longest makes room.
     */
    void connectionAccepted(ClientConnection client) {
        connections.add(client);
        if (connections.size() > maxConnections && !evictOne(client)) {
            listeners.forEach(l -> l.accept(false));
        }
    }

    /** Ends the connection that is to make room first, but for this one; false if there is no room yet. */
    private boolean evictOne(ClientConnection but) {
        ClientConnection first = null;
        double rank = 0;
        double now = core.now();
        int lingering = 0;
        for (ClientConnection c : connections) {
            lingering += c.isLingering() ? 1 : 0;
            double r = c == but ? -1 : c.evictionRank(now);
            if (r >= rank) {
                first = c;
                rank = r;
            }
        }
        if (connections.size() - lingering <= maxConnections) {
            return false; // it is on its way: those that linger go soon
        }
        return first != null && first.evict(now);
    }

    void connectionClosed(ClientConnection client) {
        connections.remove(client);
        if (connections.size() <= maxConnections) {
            listeners.forEach(l -> l.accept(true));
        }
    }

    public void closeStalled() {
        double now = core.now();
        for (ClientConnection c : List.copyOf(connections)) {
            if (c.isStalled(now)) {
                c.closeStalled();
            }
        }
        if (connections.size() > maxConnections) {
            // All were busy when the last one came. Clients keep connections that have become idle since, and those
            // that wait to be accepted would wait for one to leave.
            evictOne(null);
        }
    }

    /** One connection has become idle: where clients wait to be accepted, it makes room at once. */
    void connectionIdle() {
        if (connections.size() > maxConnections) {
            evictOne(null);
        }
    }
}
