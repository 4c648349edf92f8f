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
    private final EventLoopContext core;
    private final PoolOptions options;
    private final IntObjectHashMap<Upstream> servers = new IntObjectHashMap<>();

    PoolServers(EventLoopContext core, PoolOptions options) {
        this.core = core;
        this.options = options;
    }

    /** Applies a list: a full one replaces all servers, changes concern those that they name. */
    void apply(EndpointListKind kind, List<ListedServer> hosts) {
        for (ListedServer host : hosts) {
            logChange(kind, host);
            if (host.endpoint().state() == EndpointState.GONE) {
                remove(host.endpoint().id());
            } else {
                update(host);
            }
        }
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            removeUnlisted(hosts);
        }
    }

    private void logChange(EndpointListKind kind, ListedServer host) {
        if (!core.events().isEnabled()) {
            return;
        }
        Endpoint endpoint = host.endpoint();
        Upstream known = servers.get(endpoint.id());
        if (known == null || !known.isListedAs(endpoint.state(), endpoint.startedMs())) {
            core.events()
                    .line(ProxyEvent.SERVER_LISTED)
                    .with("server", name(endpoint.id(), host.address()))
                    .with("state", endpoint.state())
                    .with("born_ms", (long) endpoint.startedMs())
                    .with("list", kind)
                    .write();
        }
    }

    private void update(ListedServer host) {
        Endpoint endpoint = host.endpoint();
        Upstream server = hold(endpoint, host.address());
        server.listed(endpoint.state(), endpoint.startedMs());
    }

    /** The server of this id at this address, in place of one at another address. */
    private Upstream hold(Endpoint endpoint, SocketAddress address) {
        Upstream known = servers.get(endpoint.id());
        if (known != null && known.address().equals(address)) {
            return known;
        }
        remove(endpoint.id());
        PolicySettings settings = options.settings();
        boolean origin = settings.cacheAside() && endpoint.kind() == settings.originKind();
        Upstream server = core.servers().hold(endpoint.id(), origin, address, options.connections());
        servers.put(endpoint.id(), server);
        return server;
    }

    private void removeUnlisted(List<ListedServer> hosts) {
        Set<Integer> listed = new HashSet<>();
        hosts.forEach(host -> listed.add(host.endpoint().id()));
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
            core.servers().release(server);
        }
    }

    /** Closes connections that have been idle for long and those whose value has stopped coming. Once a second. */
    void sweep() {
        double nowMs = core.nowMs();
        core.servers()
                .sweep(servers.values(), nowMs, nowMs - options.connections().retireIdleMs());
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
            if (server.hasOneHolder()) {
                server.close();
            }
            core.servers().release(server);
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
