package cacheproxy.proxy.upstream;

import cacheproxy.limits.ServerCapacity;
import cacheproxy.policy.EndpointState;
import cacheproxy.proxy.net.HandlerInitializer;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * A server and this process's connections to it, which all pools with this server share. An attempt uses the most
 * recently used idle connection, so that the other idle ones age and are closed. If no connection is idle, the attempt
 * opens one, up to a limit, or queues on the connection with the fewest attempts. Used on the event loop only.
 */
public final class Upstream {
    /**
     * How long an idle connection to the origin is not reused after a response, in milliseconds. A duplicate of the
     * response would follow within a few milliseconds, and is recognized only if it arrives before the next attempt
     * begins.
     */
    public static final double REUSE_DELAY_MS = 10;

    private static final double AVAILABLE = Double.POSITIVE_INFINITY;

    private final int id;
    private final boolean origin;
    private final SocketAddress address;
    /** When the server's process started, according to the endpoint list. */
    private double startedMs;
    /** The state in the endpoint list; null before the first list. */
    private EndpointState state;
    /** When the server was first known to be draining or gone; {@link #AVAILABLE} if it is neither. */
    private double unavailableSinceMs = AVAILABLE;
    /** How many pools have this server on their lists. */
    private int poolCount;

    private final EventLoopContext loopContext;
    private final Bootstrap bootstrap;
    /** The maximum number of connections that can take another attempt. */
    private final int maxConnections;
    /** The maximum number of connections, including those on which a long value waits for its client. */
    private final int maxConnectionsWithLongValues;

    private final int maxDepth;
    private final double maxIdleMs;
    private final ServerCapacity capacity;
    private final List<UpstreamConnection> connections = new ArrayList<>(2);
    private final ConnectionSelector selector;

    Upstream(int id, boolean origin, SocketAddress address, EventLoopContext loopContext, ConnectionLimits limits) {
        this.id = id;
        this.address = address;
        this.origin = origin;
        this.loopContext = loopContext;
        capacity = new ServerCapacity(loopContext.servers().shortage());
        bootstrap = loopContext.bootstrap(limits.connectTimeoutMs());
        maxConnections = origin ? limits.originConnections() : limits.cacheConnections();
        maxConnectionsWithLongValues = Math.max(maxConnections, limits.maxConnections());
        maxDepth = origin ? 1 : limits.streamsPerConnection();
        selector = new ConnectionSelector(loopContext, origin, maxDepth, connections);
        maxIdleMs = limits.maxIdleMs();
    }

    /** The context of the event loop that owns this server. */
    EventLoopContext loopContext() {
        return loopContext;
    }

    // ---- the server in the endpoint list

    /** The server's id, derived from its name. */
    public int id() {
        return id;
    }

    /** Whether this is an origin server; otherwise it is a cache server or a sibling. */
    public boolean isOrigin() {
        return origin;
    }

    /** The server's address. */
    public SocketAddress address() {
        return address;
    }

    /** When the server was first known to be draining or gone, in milliseconds; infinite if it is ready. */
    public double unavailableSinceMs() {
        return unavailableSinceMs;
    }

    /** Whether the endpoint list has already had this state and start time of the server. */
    public boolean isListedAs(EndpointState otherState, double otherStartedMs) {
        return state == otherState && startedMs == otherStartedMs;
    }

    /**
     * Applies the state and start time of the endpoint list. If the server has been restarted, the connections to its
     * old process are retired.
     */
    public void updateListing(EndpointState newState, double newStartedMs) {
        if (startedMs != newStartedMs) {
            retire();
        }
        startedMs = newStartedMs;
        state = newState;
        if (state == EndpointState.READY) {
            unavailableSinceMs = AVAILABLE;
        } else {
            markUnavailable();
        }
    }

    /** Records that the server is draining or gone as of now, or as of the time that was recorded earlier. */
    public void markUnavailable() {
        unavailableSinceMs = Math.min(unavailableSinceMs, loopContext.nowMs());
    }

    /** Records that another pool lists the server. */
    void addPool() {
        poolCount++;
    }

    /** Records that a pool no longer lists the server. Returns whether no pool lists it now. */
    boolean removePool() {
        poolCount--;
        return poolCount == 0;
    }

    /** Whether exactly one pool lists the server. */
    public boolean hasOnePool() {
        return poolCount == 1;
    }

    // ---- the choice of a connection

    /** Sends the attempt; returns false if no connection can take it. */
    public boolean send(Attempt attempt) {
        closeExpired();
        UpstreamConnection best = selector.best(false);
        if ((best == null || best.depth() > 0 || !selector.isReusable(best)) && mayOpen()) {
            best = open();
        }
        if (best == null || !best.isUsable(maxDepth)) { // a new one may have failed at once for lack of a descriptor
            return false;
        }
        best.send(attempt);
        return true;
    }

    /**
     * Sends an attempt whose connection could not be established; returns false if no established connection can take
     * it. While others are established, the failure shows only that the server accepts no more connections.
     */
    boolean sendOnConnected(Attempt attempt) {
        UpstreamConnection best = selector.best(true);
        if (best == null) {
            return false;
        }
        best.send(attempt);
        return true;
    }

    private boolean mayOpen() {
        int current = connections.size() - count(UpstreamConnection::isEnding);
        // An attempt behind a long value would wait for the client that reads the value.
        int available = current - count(UpstreamConnection::isReceivingLongValue);
        return available < maxConnections
                && current < maxConnectionsWithLongValues
                && (origin || capacity.mayOpen(loopContext.nowMs(), available))
                && loopContext.mayOpenConnection();
    }

    private int count(Predicate<UpstreamConnection> condition) {
        int count = 0;
        for (UpstreamConnection connection : connections) {
            if (condition.test(connection)) {
                count++;
            }
        }
        return count;
    }

    private UpstreamConnection open() {
        UpstreamConnection connection = new UpstreamConnection(this);
        connections.add(connection);
        loopContext.connectionOpened();
        ChannelHandler[] handlers =
                origin ? OriginCodec.handlers(connection) : new ChannelHandler[] {new CacheCodec(connection)};
        ChannelFuture connect =
                bootstrap.clone().handler(new HandlerInitializer(handlers)).connect(address);
        connection.beginConnecting(connect, address);
        return connection;
    }

    // ---- what connections report

    /** Called when a connection has closed or could not be established. */
    void onClosed(UpstreamConnection connection) {
        if (connections.remove(connection)) {
            loopContext.connectionClosed();
        }
    }

    /** Called when the server has served an attempt on a new connection. */
    void onConnectionAccepted() {
        capacity.connectionAccepted();
    }

    /** Called when the server has closed a new connection without serving an attempt. */
    void onConnectionRefused() {
        if (!origin) {
            capacity.connectionRefused(loopContext.nowMs());
        }
    }

    // ---- closing

    /**
     * Closes connections that have been idle for so long that the server may be about to close them. If an attempt were
     * written at that time, it would be unknown whether the server has processed it.
     */
    private void closeExpired() {
        double sinceMs = loopContext.nowMs() - maxIdleMs;
        for (UpstreamConnection connection : connections) {
            if (connection.isEmpty() && connection.isConnected() && connection.idleSinceMs() < sinceMs) {
                connection.close(); // it is removed from the list when the channel has closed, not within this loop
            }
        }
    }

    /** Closes connections that have been idle since this time or longer. */
    public void closeIdle(double sinceMs) {
        for (UpstreamConnection connection : List.copyOf(connections)) {
            if (connection.isEmpty() && connection.idleSinceMs() <= sinceMs) {
                connection.close();
            }
        }
    }

    /** Closes all idle connections but one. */
    void closeSpare() {
        UpstreamConnection kept = connections.size() > 1 ? selector.best(true) : null;
        for (UpstreamConnection connection : List.copyOf(connections)) {
            if (kept != null && connection != kept && connection.isEmpty() && connection.isConnected()) {
                connection.close();
            }
        }
    }

    /** Closes connections whose server has stopped responding. */
    void closeStalled(double nowMs) {
        for (UpstreamConnection connection : List.copyOf(connections)) {
            connection.closeIfStalled(nowMs);
        }
    }

    /**
     * Sends nothing more on the existing connections because their server is gone, has restarted or has moved: they
     * would lead to a machine that does not respond, or to another server at the same address. Connections in use are
     * closed after their last attempt.
     */
    public void retire() {
        connections.forEach(UpstreamConnection::retire);
        closeIdle(Double.MAX_VALUE);
    }

    /** Closes all connections, in use or not. */
    public void close() {
        List.copyOf(connections).forEach(UpstreamConnection::close);
    }

    /** Whether there is no connection. */
    boolean hasNoConnection() {
        return connections.isEmpty();
    }
}
