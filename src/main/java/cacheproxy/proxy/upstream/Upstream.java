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

/**
 * A server of the list with our connections to it. An attempt takes the connection that was used last of those that
 * stand idle, so that the rest can age and be retired; else it opens one, up to a limit, or queues behind the fewest.
 */
public final class Upstream {
    /** What a second copy of an answer may take to follow the first: some milliseconds. */
    public static final double REST_MS = 10;

    final int id;
    public final boolean origin;
    public SocketAddress dial;
    public double bornMs;
    /** As the list has it; null before the first list. */
    public EndpointState state;
    /** Since when it is known to drain or to be gone; infinite: it is ready. */
    public double leftMs = Double.POSITIVE_INFINITY;
    /** How many pools have this server on their lists. */
    public int holders;

    private final EventLoopContext core;
    private final Bootstrap bootstrap;
    private final int maxConnections;
    /** The same, with those on which a long answer waits for its client. */
    private final int mostConnections;

    private final int maxDepth;
    private final double retireIdleMs;
    private final ServerCapacity room;
    private final List<UpstreamConnection> connections = new ArrayList<>(2);

    Upstream(int id, boolean origin, EventLoopContext core, ConnectionLimits limits) {
        this.id = id;
        this.origin = origin;
        this.core = core;
        room = new ServerCapacity(core.servers.shortage);
        bootstrap = core.bootstrap(limits.connectTimeoutMs());
        maxConnections = origin ? limits.originConnections() : limits.cacheConnections();
        mostConnections = Math.max(maxConnections, limits.maxConnections());
        maxDepth = origin ? 1 : limits.streamsPerConnection();
        retireIdleMs = limits.retireIdleMs();
    }

    EventLoopContext core() {
        return core;
    }

    /** Sends the attempt; false if no connection has room for it. */
    public boolean send(Attempt attempt) {
        closeAged();
        UpstreamConnection best = pick(false);
        int all = connections.size() - ending();
        int standing = all - onLong(); // behind a long answer one would wait for its client
        if ((best == null || best.depth() > 0 || !rested(best))
                && standing < maxConnections
                && all < mostConnections
                && (origin || room.mayOpen(core.now(), standing))
                && core.mayOpenConnection()) {
            best = open();
        }
        if (best == null || !best.usable(maxDepth)) { // a new one may have failed at once, for want of a descriptor
            return false;
        }
        best.send(attempt);
        return true;
    }

    /**
     * The server may be about to close what has been idle for long: of what went out on it nobody could tell whether it
     * has run.
     */
    private void closeAged() {
        double since = core.now() - retireIdleMs;
        for (UpstreamConnection c : connections) {
            if (c.empty() && c.connected() && c.idleSinceMs() < since) {
                c.close(); // it leaves the list with the event of its end, not here
            }
        }
    }

    /** Those that are closed on our side and on which nothing is owed. */
    private int ending() {
        int n = 0;
        for (UpstreamConnection c : connections) {
            if (c.ending()) {
                n++;
            }
        }
        return n;
    }

    private int onLong() {
        int n = 0;
        for (UpstreamConnection c : connections) {
            if (c.onLong()) {
                n++;
            }
        }
        return n;
    }

    /**
     * A further connection did not come up while others stand: the server has as many as it takes, which says nothing
     * against it. What was to go out on that one, and did not, goes behind the rest.
     */
    boolean sendElsewhere(Attempt attempt) {
        UpstreamConnection best = pick(true);
        if (best == null) {
            return false;
        }
        best.send(attempt);
        return true;
    }

    /**
     * The connection with the fewest attempts on it, of idle ones that used last; null if none has room. Answers come
     * in order: behind a busy one while another is idle, an attempt would wait for what is before it.
     */
    private UpstreamConnection pick(boolean standing) {
        UpstreamConnection best = null;
        for (UpstreamConnection c : connections) {
            if (c.usable(maxDepth) && (c.connected() || !standing) && (best == null || before(c, best))) {
                best = c;
            }
        }
        return best;
    }

    private boolean before(UpstreamConnection c, UpstreamConnection best) {
        if (c.depth() != best.depth()) {
            return c.depth() < best.depth();
        }
        return rested(c) != rested(best) ? rested(c) : c.idleSinceMs() > best.idleSinceMs();
    }

    /**
     * Whether what comes on an idle connection can be told from the next request's answer. The origin's answers bear no
     * id, and a second copy of one may come some milliseconds after it: it ends the connection if nothing has gone out
     * there by then.
     */
    private boolean rested(UpstreamConnection c) {
        return !origin || !c.connected() || !c.used() || core.now() - c.idleSinceMs() >= REST_MS;
    }

    private UpstreamConnection open() {
        UpstreamConnection connection = new UpstreamConnection(this);
        connections.add(connection);
        core.connectionOpened();
        ChannelHandler[] handlers =
                origin ? OriginCodec.handlers(connection) : new ChannelHandler[] {new CacheCodec(connection)};
        ChannelFuture future =
                bootstrap.clone().handler(new HandlerInitializer(handlers)).connect(dial);
        connection.opening(future, dial);
        return connection;
    }

    void closed(UpstreamConnection connection) {
        if (connections.remove(connection)) {
            core.connectionClosed();
        }
    }

    public void closeIdle(double sinceMs) {
        for (UpstreamConnection c : List.copyOf(connections)) {
            if (c.empty() && c.idleSinceMs() <= sinceMs) {
                c.close();
            }
        }
    }

    /** All idle ones but one. */
    void closeSpare() {
        UpstreamConnection kept = connections.size() > 1 ? pick(true) : null;
        for (UpstreamConnection c : List.copyOf(connections)) {
            if (kept != null && c != kept && c.empty() && c.connected()) {
                c.close();
            }
        }
    }

    /** Whether the server had room for a new connection. */
    void room(boolean taken) {
        if (taken) {
            room.connectionAccepted();
        } else if (!origin) {
            room.connectionRefused(core.now());
        }
    }

    /**
     * Its server is gone, restarted or elsewhere: nothing more goes out on what stands to it. Connections in use end
     * with their last attempt, else one to a silent machine, or to a stranger at its address, would be sent to.
     */
    public void retire() {
        connections.forEach(UpstreamConnection::retire);
        closeIdle(Double.MAX_VALUE);
    }

    boolean idle() {
        return connections.isEmpty();
    }

    public void close() {
        List.copyOf(connections).forEach(UpstreamConnection::close);
    }

    /** Ends attempts whose answer has stopped in its middle. */
    void sweep(double now) {
        for (UpstreamConnection c : List.copyOf(connections)) {
            c.sweep(now);
        }
    }
}
