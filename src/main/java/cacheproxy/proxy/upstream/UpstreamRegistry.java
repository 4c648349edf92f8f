package cacheproxy.proxy.upstream;

import cacheproxy.limits.ConnectionShortage;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.collection.IntObjectHashMap;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The servers of all pools. Pools that list a server with the same id and address share it, so that its connections,
 * and the limits on them, are common to all pools. Used on the event loop only.
 */
public final class UpstreamRegistry {
    /** Observes whether servers accept connections. */
    public interface Observer {
        /** Called when a server has refused a connection, which shows that no process listens at its address. */
        void connectionRefused(int server);

        /** Called when a server has accepted a connection. */
        void connectionAccepted(int server);
    }

    private final EventLoopContext loopContext;
    /** The servers by id. There are several for an id if pools list different addresses for it. */
    private final IntObjectHashMap<List<Upstream>> byId = new IntObjectHashMap<>();
    /** Servers that no pool lists any more, but with connections on which attempts have not ended. */
    private final List<Upstream> released = new ArrayList<>();

    private final ConnectionShortage shortage = new ConnectionShortage();
    /** Copied on write, because a pool may end and remove its observer while observers are called. */
    private final List<Observer> observers = new CopyOnWriteArrayList<>();

    UpstreamRegistry(EventLoopContext loopContext) {
        this.loopContext = loopContext;
    }

    /** Tracks whether cache servers have refused connections recently, across all servers. */
    ConnectionShortage shortage() {
        return shortage;
    }

    /** Adds an observer. */
    void addObserver(Observer observer) {
        observers.add(observer);
    }

    /** Removes an observer. */
    public void removeObserver(Observer observer) {
        observers.remove(observer);
    }

    /** Called when a connection to a server has been established or has failed. */
    void connectCompleted(Upstream server, Throwable failure) {
        boolean refused = failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
        for (Observer observer : observers) {
            if (failure == null) {
                observer.connectionAccepted(server.id());
            } else if (refused) {
                observer.connectionRefused(server.id());
            }
        }
    }

    /**
     * Returns the server with this id and address, which is shared with the other pools that list it. The caller must
     * release it once.
     *
     * @param limits the limits of its connections, used if no pool lists the server yet
     */
    public Upstream acquire(int id, boolean origin, SocketAddress address, ConnectionLimits limits) {
        List<Upstream> sameId = byId.get(id);
        if (sameId == null) {
            sameId = new ArrayList<>(1);
            byId.put(id, sameId);
        }
        for (Upstream server : sameId) {
            if (server.address().equals(address) && server.isOrigin() == origin) {
                server.addPool();
                return server;
            }
        }
        Upstream server = new Upstream(id, origin, address, loopContext, limits);
        server.addPool();
        sameId.add(server);
        return server;
    }

    /** Records that a pool no longer lists this server. Its connections are retired if no other pool lists it. */
    public void release(Upstream server) {
        if (!server.removePool()) {
            return;
        }
        List<Upstream> sameId = byId.get(server.id());
        sameId.remove(server);
        if (sameId.isEmpty()) {
            byId.remove(server.id());
        }
        server.retire();
        if (!server.hasNoConnection()) {
            released.add(server);
        }
    }

    /**
     * Closes connections of the given servers that should not be kept, and stalled connections of servers that no pool
     * lists any more. Each pool calls this once a second.
     *
     * @param idleSinceMs connections that have been idle since this time or longer are closed
     */
    public void sweep(Iterable<Upstream> servers, double nowMs, double idleSinceMs) {
        for (Upstream server : servers) {
            server.closeIdle(idleSinceMs);
            if (!server.isOrigin() && shortage.isActive(nowMs)) {
                server.closeSpare();
            }
            server.closeStalled(nowMs);
        }
        released.removeIf(server -> {
            server.closeStalled(nowMs);
            return server.hasNoConnection();
        });
    }
}
