package cacheproxy.policy;

import java.util.List;

/**
 * Settings of a routing policy. Times are milliseconds.
 *
 * @param instanceIndex index of this proxy among those of its fleet, from 0
 * @param instanceCount proxies of the fleet
 * @param zone index of this proxy's zone
 * @param zoneCount zones
 * @param kindCount kinds of servers
 * @param pollsDiscovery whether the endpoint list must be subscribed to; else changes arrive unasked
 * @param cacheAside whether the proxy fetches from the origin what a cache server misses; else the cache servers do
 * @param originKind kind of the origin in the endpoint list; -1: it is not listed
 * @param loadReportSource where load reports come from
 * @param loadReportFields names of a load report's figures, at most four
 * @param valueByWork whether a request is worth its processing time rather than the same as all others of its class
 * @param overQuotaValueFraction worth of a request over its tenant's quota as a fraction of the usual, 0 to 1
 * @param cancellationAllowed whether attempts may be cancelled
 * @param probingAllowed whether the policy may send health checks; else clients' requests are the half-open probes
 * @param peerMessagesAllowed whether proxies may send each other messages
 * @param hedgingAllowed whether a request may have two attempts in flight
 * @param retryAfterAllowed whether clients are told when to retry
 * @param maxAttempts greatest number of attempts of a request, at least 1
 * @param maxRetryAfterMs longest time that a client waits before a retry
 * @param connectTimeoutMs after which a connection that is not established has failed
 * @param drainGraceMs within which sending to a draining or removed server must stop
 * @param responseGraceMs by which a final response may exceed its request's deadline
 * @param initialCapacityFraction fraction of its capacity that a server has at its start, 0 to 1
 * @param warmUpMs until a started server has its whole capacity
 * @param collapseLoadMultiple a server that warms up collapses under more than this multiple of its capacity
 * @param collapseAfterMs if that load lasts this long
 * @param maxPollAgeMs longest time without a call to discovery where it is polled
 * @param originCollapseLoadMultiple the same multiple for the origin; 0: it does not collapse
 * @param originCollapseAfterMs if that load lasts this long
 * @param classes service classes, at least one; requests refer to them by index
 * @param tenants tenants; requests refer to them by index
 */
public record PolicySettings(
        int instanceIndex,
        int instanceCount,
        int zone,
        int zoneCount,
        int kindCount,
        boolean pollsDiscovery,
        boolean cacheAside,
        int originKind,
        LoadReportSource loadReportSource,
        List<String> loadReportFields,
        boolean valueByWork,
        double overQuotaValueFraction,
        boolean cancellationAllowed,
        boolean probingAllowed,
        boolean peerMessagesAllowed,
        boolean hedgingAllowed,
        boolean retryAfterAllowed,
        int maxAttempts,
        double maxRetryAfterMs,
        double connectTimeoutMs,
        double drainGraceMs,
        double responseGraceMs,
        double initialCapacityFraction,
        double warmUpMs,
        double collapseLoadMultiple,
        double collapseAfterMs,
        double maxPollAgeMs,
        double originCollapseLoadMultiple,
        double originCollapseAfterMs,
        List<ServiceClass> classes,
        List<Tenant> tenants) {}
