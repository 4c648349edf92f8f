package cacheproxy.policy;

import java.util.List;

/** What a routing policy is configured with; times in milliseconds, shares as parts of one. */
public record PolicySettings(
        int instanceNumber,
        int instances,
        int zone,
        int zones,
        int kinds,
        boolean askForList,
        boolean aside,
        int originKind,
        LoadReportSource reports,
        List<String> reportNames,
        boolean worthByWork,
        double overShareWorth,
        boolean mayCancel,
        boolean mayProbe,
        boolean peers,
        boolean secondCopies,
        boolean retryAdvice,
        int maxAttempts,
        double maxRetryAfterMs,
        double connectTimeoutMs,
        double drainGraceMs,
        double answerGraceMs,
        double startCapacity,
        double warmUpMs,
        double tipMultiple,
        double fallMs,
        double askWithinMs,
        double originFallMultiple,
        double originFallMs,
        List<ServiceClass> classes,
        List<Tenant> tenants) {}
