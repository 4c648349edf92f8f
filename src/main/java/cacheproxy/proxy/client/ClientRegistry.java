package cacheproxy.proxy.client;

import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The client connections of all listeners of one event loop. While there are too many connections, idle ones are
 * evicted; if none can be evicted, accepting pauses.
 */
public final class ClientRegistry {
    private static final int MAX_LISTED_CONNECTIONS = 8;
    /** Candidates that are tried, each of which may turn out to be in use. */
    private static final int MAX_EVICTION_ATTEMPTS = 3;

    private final EventLoopContext loopContext;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final List<Listener> listeners = new ArrayList<>();

    /** Creates an empty registry that keeps at most {@code maxConnections} connections open. */
    public ClientRegistry(EventLoopContext loopContext, int maxConnections) {
        this.loopContext = loopContext;
        this.maxConnections = maxConnections;
    }

    /** Adds a listener, whose accepting this registry pauses and resumes. */
    void add(Listener listener) {
        listeners.add(listener);
    }

    /** Removes a listener that no longer accepts connections. */
    void remove(Listener listener) {
        listeners.remove(listener);
    }

    /**
     * Adds a connection that the kernel has accepted. If there are too many, evicts another one or pauses accepting.
     */
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
     * Evicts the connection with the highest rank; if its client has just sent something, the next one.
     *
     * @param excluded a connection that must not be evicted; may be null
     * @return whether a connection was evicted and its descriptor is free immediately
     */
    private boolean evictOne(ClientConnection excluded) {
        for (int i = 0; i < MAX_EVICTION_ATTEMPTS; i++) {
            ClientConnection candidate = evictionCandidate(excluded);
            if (candidate == null) {
                return false;
            }
            if (candidate.end().evict(loopContext.nowMs())) {
                return true;
            }
            if (candidate.isFinished()) {
                return false; // it is about to close
            }
        }
        return false;
    }

    /** Returns the connection to evict; null if none can be, or enough are about to close. */
    private ClientConnection evictionCandidate(ClientConnection excluded) {
        ClientConnection candidate = null;
        double highestRank = 0;
        double nowMs = loopContext.nowMs();
        int lingering = 0;
        for (ClientConnection connection : connections) {
            lingering += connection.isFinished() ? 1 : 0;
            double rank = connection == excluded ? -1 : connection.status().evictionRank(nowMs);
            if (rank >= highestRank) {
                candidate = connection;
                highestRank = rank;
            }
        }
        return connections.size() - lingering <= maxConnections ? null : candidate;
    }

    /** Removes a closed connection, and resumes accepting if there are no longer too many connections. */
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
            if (connection.status().isStalled(nowMs)) {
                connection.end().closeStalled(nowMs);
            }
        }
        evictIfTooManyConnections();
    }

    /** Reports that a connection has become idle, so that it can be evicted if accepting is paused. */
    void connectionIdle() {
        evictIfTooManyConnections();
    }

    /** Describes the connections whose clients have sent the most commands, a line for each, after a line end. */
    public String summary() {
        StringBuilder text = new StringBuilder("\nconnections=" + connections.size());
        connections.stream()
                .sorted(Comparator.comparingLong((ClientConnection connection) ->
                                connection.counts().commands())
                        .reversed())
                .limit(MAX_LISTED_CONNECTIONS)
                .forEach(connection ->
                        text.append('\n').append(connection.status().summary()));
        return text.toString();
    }

    /**
     * Evicts a connection if there are too many. Otherwise, connections in the accept queue would wait until an idle
     * client disconnects.
     */
    private void evictIfTooManyConnections() {
        if (hasTooManyConnections()) {
            evictOne(null);
        }
    }
}
