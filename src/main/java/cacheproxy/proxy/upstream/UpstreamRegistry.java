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
 * The servers of all pools. Pools that have a server under the same id and address share it, so that its connections,
 * and the limits on them, are those of all pools together. Used on the event loop only.
 */
public final class UpstreamRegistry {
    /** Observes whether servers accept connections. */
    public interface Observer {
        /** A server has refused a connection, so that no process listens there. */
        void connectionRefused(int server);

        /** A server has accepted a connection. */
        void connectionAccepted(int server);
    }

    private final EventLoopContext loopContext;
    /** By id; more than one where pools have different addresses for an id. */
    private final IntObjectHashMap<List<Upstream>> byId = new IntObjectHashMap<>();
    /** Servers that no pool has any more, with connections on which attempts have not ended. */
    private final List<Upstream> released = new ArrayList<>();

    private final ConnectionShortage shortage = new ConnectionShortage();
    /** Copied on write, as a pool may end, and be removed from here, while observers are called. */
    private final List<Observer> observers = new CopyOnWriteArrayList<>();

    UpstreamRegistry(EventLoopContext loopContext) {
        this.loopContext = loopContext;
    }

    /** Whether cache servers have refused connections recently, over all servers. */
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

    /** A connection to a server has come up, or has failed to. */
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
     * Returns the server of this id at this address, which is shared with other pools that have it; to be released
     * once.
     *
     * @param limits used if no pool has the server yet
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

    /** A pool does not have this server any more; its connections are retired if no other pool has it. */
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
     * Closes connections that should not be kept: of the given servers, and stalled ones of servers that no pool has
     * any more. To be called once a second by each pool.
     *
     * @param idleSinceMs connections that have been idle since then or longer are closed
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
