package cacheproxy.proxy.dispatch;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.discovery.ListedServer;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.Upstream;
import io.netty.util.collection.IntObjectHashMap;
import io.netty.util.collection.IntObjectMap;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * The servers on a pool's endpoint list, by id. Holds each of them in the registry of servers that all pools share for
 * as long as it is listed. On the event loop only.
 */
final class PoolServers {
    private final EventLoopContext loopContext;
    private final PoolOptions options;
    private final IntObjectHashMap<Upstream> servers = new IntObjectHashMap<>();

    PoolServers(EventLoopContext loopContext, PoolOptions options) {
        this.loopContext = loopContext;
        this.options = options;
    }

    /** Applies a list: a full one replaces all servers, changes concern those that they name. */
    void apply(EndpointListKind kind, List<ListedServer> listedServers) {
        for (ListedServer listedServer : listedServers) {
            logChange(kind, listedServer);
            if (listedServer.endpoint().state() == EndpointState.GONE) {
                remove(listedServer.endpoint().id());
            } else {
                update(listedServer);
            }
        }
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            removeUnlisted(listedServers);
        }
    }

    private void logChange(EndpointListKind kind, ListedServer listedServer) {
        if (!loopContext.events().isEnabled()) {
            return;
        }
        Endpoint endpoint = listedServer.endpoint();
        Upstream known = servers.get(endpoint.id());
        if (known == null || !known.isListedAs(endpoint.state(), endpoint.startedMs())) {
            loopContext
                    .events()
                    .line(ProxyEvent.SERVER_LISTED)
                    .with("server", name(endpoint.id(), listedServer.address()))
                    .with("state", endpoint.state())
                    .with("born_ms", (long) endpoint.startedMs())
                    .with("list", kind)
                    .write();
        }
    }

    private void update(ListedServer listedServer) {
        Endpoint endpoint = listedServer.endpoint();
        Upstream server = acquire(endpoint, listedServer.address());
        server.updateListing(endpoint.state(), endpoint.startedMs());
    }

    /** The server of this id at this address, in place of one at another address. */
    private Upstream acquire(Endpoint endpoint, SocketAddress address) {
        Upstream known = servers.get(endpoint.id());
        if (known != null && known.address().equals(address)) {
            return known;
        }
        remove(endpoint.id());
        PolicySettings settings = options.settings();
        boolean origin = settings.cacheAside() && endpoint.kind() == settings.originKind();
        Upstream server = loopContext.servers().acquire(endpoint.id(), origin, address, options.connections());
        servers.put(endpoint.id(), server);
        return server;
    }

    private void removeUnlisted(List<ListedServer> listedServers) {
        Set<Integer> listed = new HashSet<>();
        listedServers.forEach(listedServer -> listed.add(listedServer.endpoint().id()));
        for (Integer id : List.copyOf(servers.keySet())) {
            if (!listed.contains(id)) {
                remove(id);
            }
        }
    }

    private void remove(int id) {
        Upstream server = servers.remove(id);
        if (server != null) {
            server.markUnavailable();
            loopContext.servers().release(server);
        }
    }

    /** Closes connections that have been idle for long and those whose value has stopped coming. Once a second. */
    void sweep() {
        double nowMs = loopContext.nowMs();
        loopContext
                .servers()
                .sweep(servers.values(), nowMs, nowMs - options.connections().maxIdleMs());
    }

    /** Closes the idle connections to a server; does nothing if it is not listed. */
    void closeIdleConnections(int id) {
        Upstream server = servers.get(id);
        if (server != null) {
            server.closeIdle(Double.MAX_VALUE);
        }
    }

    /** Lets go of all servers. Connections to those that no other pool holds are closed. */
    void close() {
        for (Integer id : List.copyOf(servers.keySet())) {
            Upstream server = servers.remove(id);
            if (server.hasOnePool()) {
                server.close();
            }
            loopContext.servers().release(server);
        }
    }

    /** The server of this id; null if it is not listed. */
    Upstream find(int id) {
        return servers.get(id);
    }

    /** Whether no server is listed. */
    boolean isEmpty() {
        return servers.isEmpty();
    }

    /** Whether this is a listed server that is no origin. */
    boolean isCacheServer(int id) {
        Upstream server = servers.get(id);
        return server != null && !server.isOrigin();
    }

    /** Whether some cache server fulfils a condition, or none is listed. */
    boolean anyCacheServer(IntPredicate condition) {
        boolean none = true;
        for (IntObjectMap.PrimitiveEntry<Upstream> entry : servers.entries()) {
            if (!entry.value().isOrigin()) {
                if (condition.test(entry.key())) {
                    return true;
                }
                none = false;
            }
        }
        return none;
    }

    /** How a server is named in the event log: its id, with its address while it is listed. */
    String name(int id) {
        Upstream server = servers.get(id);
        return server == null ? Integer.toHexString(id) : name(id, server.address());
    }

    private static String name(int id, SocketAddress address) {
        return Integer.toHexString(id) + "@" + address;
    }
}
