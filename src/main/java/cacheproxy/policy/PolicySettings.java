package cacheproxy.policy;

import java.util.List;

/**
 * Settings of a routing policy. Times are milliseconds.
 *
 * @param instanceIndex index of this proxy among those of its fleet, from 0
 * @param instanceCount number of proxies in the fleet
 * @param zone index of this proxy's zone
 * @param zoneCount number of zones
 * @param kindCount number of kinds of servers
 * @param pollsDiscovery whether the endpoint list must be subscribed to; otherwise changes are pushed
 * @param cacheAside whether the proxy fetches from the origin what a cache server misses; otherwise the cache servers
 *     do
 * @param originKind kind of the origin in the endpoint list; -1 if it is not listed
 * @param loadReportSource where load reports come from
 * @param loadReportFields names of the values in a load report, at most four
 * @param valueByWork whether the value of a request is its processing time, rather than the same for all requests of
 *     its class
 * @param overQuotaValueFraction value of a request over its tenant's quota, as a fraction of its normal value, 0 to 1
 * @param cancellationAllowed whether attempts may be cancelled
 * @param probingAllowed whether the policy may send health checks; otherwise clients' requests are the half-open probes
 * @param peerMessagesAllowed whether proxies may send each other messages
 * @param hedgingAllowed whether a request may have two attempts in flight
 * @param retryAfterAllowed whether clients are told when to retry
 * @param maxAttempts greatest number of attempts of a request, at least 1
 * @param maxRetryAfterMs longest time that a client waits before a retry
 * @param connectTimeoutMs time after which a connection that is not established has failed
 * @param drainGraceMs time within which sending to a draining or removed server must stop
 * @param responseGraceMs time by which a final response may exceed its request's deadline
 * @param initialCapacityFraction fraction of its capacity that a server has at its start, 0 to 1
 * @param warmUpMs time from a server's start until it has its full capacity
 * @param collapseLoadMultiple multiple of its capacity above which load makes a server that is warming up collapse
 * @param collapseAfterMs how long that load must last to make the server collapse
 * @param maxPollAgeMs longest time between calls to discovery if it is polled
 * @param originCollapseLoadMultiple multiple of its capacity above which load makes the origin collapse; 0 if it does
 *     not collapse
 * @param originCollapseAfterMs how long that load must last to make the origin collapse
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
        List<Tenant> tenants) {

    /** Returns a builder in which no setting is set. */
    public static PolicySettingsBuilder builder() {
        return new PolicySettingsBuilder();
    }

    /** Returns a builder with these settings. */
    public PolicySettingsBuilder toBuilder() {
        return new PolicySettingsBuilder(this);
    }
}
