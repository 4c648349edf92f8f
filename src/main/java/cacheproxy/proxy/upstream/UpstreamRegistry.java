package cacheproxy.proxy.upstream;

import cacheproxy.limits.ConnectionShortage;
import io.netty.util.collection.IntObjectHashMap;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The servers of all pools. One that stands in several pools under the same id and address is one: its connections are
 * shared and their bound holds for all pools together.
 */
public final class UpstreamRegistry {
    /** Told when a server is found to be down and when it is there again. */
    public interface Observer {
        /** It refused a connection: no process listens. */
        void refused(int server);

        /** It took a connection. */
        void connected(int server);
    }

    private final EventLoopContext core;
    /** By id; more than one where pools hold different addresses for an id. */
    private final IntObjectHashMap<List<Upstream>> byId = new IntObjectHashMap<>();
    /** Those that no pool holds any more and that still have connections with attempts. */
    private final List<Upstream> leaving = new ArrayList<>();

    /** What all cache nodes have shown of their room for connections. */
    final ConnectionShortage shortage = new ConnectionShortage();
    /** One for the process and one for each pool that follows discovery; a pool may end while they are told. */
    private final List<Observer> observers = new CopyOnWriteArrayList<>();

    UpstreamRegistry(EventLoopContext core) {
        this.core = core;
    }

    void observe(Observer by) {
        observers.add(by);
    }

    public void forget(Observer by) {
        observers.remove(by);
    }

    void opened(Upstream u, Throwable failure) {
        boolean refused = failure instanceof java.net.ConnectException
                && !(failure instanceof io.netty.channel.ConnectTimeoutException);
        for (Observer o : observers) {
            if (failure == null) {
                o.connected(u.id);
            } else if (refused) {
                o.refused(u.id);
            }
        }
    }

    /** The server of this id at this address, shared if it is there already; to be released once. */
    public Upstream hold(int id, boolean origin, SocketAddress dial, ConnectionLimits limits) {
        List<Upstream> same = byId.get(id);
        if (same == null) {
            same = new ArrayList<>(1);
            byId.put(id, same);
        }
        for (Upstream u : same) {
            if (u.dial.equals(dial) && u.origin == origin) {
                u.holders++;
                return u;
            }
        }
        Upstream u = new Upstream(id, origin, core, limits);
        u.dial = dial;
        u.holders = 1;
        same.add(u);
        return u;
    }

    public void release(Upstream u) {
        if (--u.holders == 0) {
            List<Upstream> same = byId.get(u.id);
            same.remove(u);
            if (same.isEmpty()) {
                byId.remove(u.id);
            }
            u.retire();
            if (!u.idle()) {
                leaving.add(u);
            }
        }
    }

    /** Once a second, for the servers of one pool; and those that no pool holds go with their last attempt. */
    public void sweep(Iterable<Upstream> of, double now, double idleSinceMs) {
        for (Upstream u : of) {
            u.closeIdle(idleSinceMs);
            if (!u.origin && shortage.isActive(now)) {
                u.closeSpare();
            }
            u.sweep(now);
        }
        leaving.removeIf(u -> {
            u.sweep(now);
            return u.idle();
        });
    }
}
