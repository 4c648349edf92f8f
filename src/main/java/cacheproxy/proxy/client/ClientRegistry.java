package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The clients of all listeners of one event loop, and the bound on them. */
public final class ClientRegistry {
    private final EventLoopContext core;
    private final int max;
    private final Set<ClientConnection> all = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();

    /** @param max connections of clients; one that has stood idle makes room for a new one */
    public ClientRegistry(EventLoopContext core, int max) {
        this.core = core;
        this.max = max;
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
    void accepted(ClientConnection client) {
        all.add(client);
        if (all.size() > max && !makeRoom(client)) {
            listeners.forEach(l -> l.accept(false));
        }
    }

    /** Ends the connection that is to make room first, but for this one; false if there is no room yet. */
    private boolean makeRoom(ClientConnection but) {
        ClientConnection first = null;
        double rank = 0;
        double now = core.now();
        int lingering = 0;
        for (ClientConnection c : all) {
            lingering += c.lingers() ? 1 : 0;
            double r = c == but ? -1 : c.room(now);
            if (r >= rank) {
                first = c;
                rank = r;
            }
        }
        if (all.size() - lingering <= max) {
            return false; // it is on its way: those that linger go soon
        }
        return first != null && first.makeRoom(now);
    }

    void left(ClientConnection client) {
        all.remove(client);
        if (all.size() <= max) {
            listeners.forEach(l -> l.accept(true));
        }
    }

    public void sweep() {
        double now = core.now();
        for (ClientConnection c : List.copyOf(all)) {
            if (c.stalled(now)) {
                c.endStalled();
            }
        }
        if (all.size() > max) {
            // All were busy when the last one came. Clients keep connections that have become idle since, and those
            // that wait to be accepted would wait for one to leave.
            makeRoom(null);
        }
    }

    /** One connection has become idle: where clients wait to be accepted, it makes room at once. */
    void idle() {
        if (all.size() > max) {
            makeRoom(null);
        }
    }
}
