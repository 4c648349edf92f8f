package cacheproxy.config;

import cacheproxy.policy.PolicyApi.ServiceClass;
import cacheproxy.policy.PolicyApi.Tenant;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.RouteTable;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The daemon's file, checked: what {@code run} serves. All times in milliseconds.
 *
 * @param keys what keys are
 * @param pools by name, in the file's order
 * @param parts sections that subsystems have read for themselves, by their classes
 */
public record DaemonConfig(
        String path,
        Site site,
        KeyFormat keys,
        Limits limits,
        List<ServiceClass> classes,
        List<Tenant> tenants,
        List<Listen> listeners,
        Map<String, Pool> pools,
        RouteTable routes,
        Map<Class<?>, Object> parts) {

    /**
     * What is true of the whole installation.
     *
     * @param me this proxy's number among those of the tier, from 0
     * @param instances how many proxies share the servers
     * @param zone ours
     */
    public record Site(
            String name,
            int me,
            int instances,
            String zone,
            double drainGraceMs,
            double startCapacity,
            double warmUpMs,
            double tipMultiple,
            double fallMs) {}

    /**
     * Bounds of the process.
     *
     * @param memoryMb what the process may take; an eighth of it holds clients' values
     * @param sockets descriptors of the process
     * @param unknownCapacity requests a second of a warm server that has no {@code capacity}
     */
    public record Limits(
            int memoryMb,
            int sockets,
            double connectTimeoutMs,
            double idleCloseMs,
            int maxAttempts,
            double maxRetryAfterMs,
            boolean secondCopies,
            double unknownCapacity) {}

    /**
     * Where clients connect.
     *
     * @param open whether stock clients' plain commands are taken
     * @param readClass class of a read that names none; null: must be named
     */
    public record Listen(
            String name,
            InetSocketAddress address,
            boolean open,
            String readClass,
            String writeClass,
            String tenant,
            double deadlineMs) {}

    /**
     * Servers that share a placement and bounds.
     *
     * @param origin where misses and writes go; null: nodes are all there is
     * @param discovery where the list comes from instead of {@code servers}; null: from the file
     * @param placement one of {@link cacheproxy.placement.PlacementRegistry}
     * @param placeBy what the placement hashes; null: the key as the pool gets it
     * @param perSecond requests a second; 0: no bound
     * @param dedupGroup pools of the same name drop repeats of keyed requests together; null: none does
     * @param siblings names of those asked before the origin
     * @param fallback the pool that takes what this one gives up, where the route names none; null: none
     */
    public record Pool(
            String name,
            List<Server> servers,
            Server origin,
            Discovery discovery,
            String placement,
            PlacementTemplate placeBy,
            int connections,
            int originConnections,
            int streams,
            int inHand,
            double perSecond,
            double retryShare,
            double retriesAlways,
            boolean plainNodes,
            String dedupGroup,
            String fallback,
            List<String> siblings) {}

    /**
     * A server of a pool.
     *
     * @param id from its name, alike at every proxy
     * @param dial null where it is down and has none
     * @param ring its text in nginx's consistent placement
     * @param warm whether it has been running for long though it is new in the file
     * @param capacity requests a second when warm; 0: not told
     */
    public record Server(
            String name,
            int id,
            InetSocketAddress dial,
            String zone,
            String kind,
            double weight,
            boolean backup,
            boolean down,
            boolean drain,
            boolean warm,
            double capacity,
            String ring) {}

    /** A list of servers that is followed. */
    public record Discovery(InetSocketAddress address, List<String> zones, List<String> kinds, String originKind) {}

    /** What a subsystem has read of the file; null where the file says nothing of it. */
    public <T> T part(Class<T> of) {
        return of.cast(parts.get(of));
    }

    /** A pool and those that follow it by its own {@code fallback}. */
    public List<String> chain(List<String> named) {
        List<String> chain = new ArrayList<>(named);
        String next = pools.get(named.get(named.size() - 1)).fallback();
        while (next != null && !chain.contains(next)) {
            chain.add(next);
            next = pools.get(next).fallback();
        }
        return chain;
    }

    /** A class's index. */
    public int classIndex(String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** A tenant's index; 0 where there are none. */
    public int tenantIndex(String name) {
        for (int i = 0; i < tenants.size(); i++) {
            if (tenants.get(i).name().equals(name)) {
                return i;
            }
        }
        return tenants.isEmpty() ? 0 : -1;
    }
}
