package cacheproxy.policy;

/** A class of requests; times in milliseconds. */
public record ServiceClass(
        String name,
        Idempotency effect,
        DeduplicationScope group,
        double windowMs,
        double aimMs,
        double deadlineMs,
        double worth,
        double lateShare,
        boolean stream) {}
