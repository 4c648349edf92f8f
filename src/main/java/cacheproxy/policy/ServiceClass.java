package cacheproxy.policy;

/** A class of requests; times in milliseconds. */
public record ServiceClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        double latencyObjectiveMs,
        double deadlineMs,
        double priorityWeight,
        double lateValueFraction,
        boolean streamed) {}
