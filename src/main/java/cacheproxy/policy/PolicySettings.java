package cacheproxy.policy;

import java.util.List;

/** What a routing policy is configured with; times in milliseconds, shares as parts of one. */
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
