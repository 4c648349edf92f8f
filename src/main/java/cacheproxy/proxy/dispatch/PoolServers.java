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
 * The servers on a pool's endpoint list, by id. Each server is acquired from the registry that all pools share for as
 * long as it is listed. Used on the event loop only.
 */
final class PoolServers {
    private final EventLoopContext loopContext;
    private final PoolOptions options;
    private final IntObjectHashMap<Upstream> servers = new IntObjectHashMap<>();

    PoolServers(EventLoopContext loopContext, PoolOptions options) {
        this.loopContext = loopContext;
        this.options = options;
    }

    /** Applies a list: a full list replaces all servers, a list of changes affects only the servers that it names. */
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

    /** Returns the server with this id and address, which replaces one at another address. */
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

    /** Closes connections that have been idle for long, and those whose value has stalled. Called once a second. */
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

    /** Releases all servers. Connections to servers that no other pool lists are closed. */
    void close() {
        for (Integer id : List.copyOf(servers.keySet())) {
            Upstream server = servers.remove(id);
            if (server.hasOnePool()) {
                server.close();
            }
            loopContext.servers().release(server);
        }
    }

    /** Returns the server with this id; null if it is not listed. */
    Upstream find(int id) {
        return servers.get(id);
    }

    /** Whether no server is listed. */
    boolean isEmpty() {
        return servers.isEmpty();
    }

    /** Whether the server is listed and is not an origin. */
    boolean isCacheServer(int id) {
        Upstream server = servers.get(id);
        return server != null && !server.isOrigin();
    }

    /** Whether some cache server meets a condition, or no cache server is listed. */
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

    /** The name of a server in the event log: its id, with its address while it is listed. */
    String name(int id) {
        Upstream server = servers.get(id);
        return server == null ? Integer.toHexString(id) : name(id, server.address());
    }

    private static String name(int id, SocketAddress address) {
        return Integer.toHexString(id) + "@" + address;
    }
}
