package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The client connections of all listeners of one event loop. While there are too many of them, idle ones are evicted
 * and, if there is none, accepting pauses.
 */
public final class ClientRegistry {
    private final EventLoopContext loopContext;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();

    /** No connection yet; at most {@code maxConnections} are kept open. */
    public ClientRegistry(EventLoopContext loopContext, int maxConnections) {
        this.loopContext = loopContext;
        this.maxConnections = maxConnections;
    }

    /** Pauses and resumes accepting at this listener, too. */
    void add(Listener listener) {
        listeners.add(listener);
    }

    /** Forgets a listener that accepts no more. */
    void remove(Listener listener) {
        listeners.remove(listener);
    }

    /** Counts a connection that the kernel has accepted; evicts another, or pauses accepting, if there are too many. */
    void connectionAccepted(ClientConnection connection) {
        connections.add(connection);
        if (hasTooManyConnections() && !evictOne(connection)) {
            listeners.forEach(listener -> listener.setAccepting(false));
        }
    }

    private boolean hasTooManyConnections() {
        return connections.size() > maxConnections;
    }

    /**
     * Evicts the connection with the highest rank.
     *
     * @param excluded a connection that is not evicted; may be null
     * @return whether its descriptor is free at once
     */
    private boolean evictOne(ClientConnection excluded) {
        ClientConnection candidate = null;
        double highestRank = 0;
        double nowMs = loopContext.nowMs();
        int lingering = 0;
        for (ClientConnection connection : connections) {
            lingering += connection.isFinished() ? 1 : 0;
            double rank = connection == excluded ? -1 : connection.evictionRank(nowMs);
            if (rank >= highestRank) {
                candidate = connection;
                highestRank = rank;
            }
        }
        if (connections.size() - lingering <= maxConnections) {
            return false; // enough of them close soon
        }
        return candidate != null && candidate.evict(nowMs);
    }

    /** Counts a closed connection out, and lets listeners accept again if there are no longer too many. */
    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        if (!hasTooManyConnections()) {
            listeners.forEach(listener -> listener.setAccepting(true));
        }
    }

    /** Closes stalled connections, and evicts one if there are too many; to be called periodically. */
    public void closeStalled() {
        double nowMs = loopContext.nowMs();
        for (ClientConnection connection : List.copyOf(connections)) {
            if (connection.isStalled(nowMs)) {
                connection.closeStalled();
            }
        }
        evictIfTooManyConnections();
    }

    /** A connection has become idle, so that it can be evicted if accepting is paused. */
    void connectionIdle() {
        evictIfTooManyConnections();
    }

    /** Idle clients keep their connections, and those in the accept queue would wait for one of them to leave. */
    private void evictIfTooManyConnections() {
        if (hasTooManyConnections()) {
            evictOne(null);
        }
    }
}
