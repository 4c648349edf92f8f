package cacheproxy.policy;

/**
 * A class of requests.
 *
 * @param name its name in settings and requests
 * @param idempotency whether its requests may be repeated
 * @param deduplicationScope the servers that recognize repetitions; only for {@link Idempotency#DEDUPLICATED}
 * @param deduplicationWindowMs how long they do, from the sending of the first attempt that may have run; only for
 *     {@link Idempotency#DEDUPLICATED}
 * @param latencyObjectiveMs a response within this time is worth the whole {@code priorityWeight}
 * @param deadlineMs how long clients wait at most, all their retries included
 * @param priorityWeight worth of a request relative to other classes, 0 or more
 * @param lateValueFraction fraction of the worth that is left after the objective and before the deadline, 0 to 1
 * @param streamed whether responses are passed on while they arrive
 */
public record ServiceClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        double latencyObjectiveMs,
        double deadlineMs,
        double priorityWeight,
        double lateValueFraction,
        boolean streamed) {

    /** Whether requests may be repeated without restriction. */
    boolean isIdempotent() {
        return idempotency == Idempotency.IDEMPOTENT;
    }

    /** Whether a response after the latency objective is worth nothing and may be given up. */
    boolean isWorthlessWhenLate() {
        return isIdempotent() && lateValueFraction == 0;
    }
}
