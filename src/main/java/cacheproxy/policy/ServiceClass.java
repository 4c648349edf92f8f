package cacheproxy.policy;

/**
 * A class of requests.
 *
 * @param name its name in settings and requests
 * @param idempotency whether its requests may be sent again
 * @param deduplicationScope the servers that recognize duplicates; only for {@link Idempotency#DEDUPLICATED}
 * @param deduplicationWindowMs how long they recognize duplicates, from the sending of the first attempt that may have
 *     run; only for {@link Idempotency#DEDUPLICATED}
 * @param latencyObjectiveMs a response within this time has the full value of {@code priorityWeight}
 * @param deadlineMs longest time that clients wait, including all their retries
 * @param priorityWeight value of a request relative to other classes, 0 or more
 * @param lateValueFraction fraction of its value that a response has after the objective and before the deadline, 0 to
 *     1
 * @param streamed whether responses are streamed to the client as they arrive
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

    /** Returns whether requests may be sent again without restriction. */
    boolean isIdempotent() {
        return idempotency == Idempotency.IDEMPOTENT;
    }

    /** Returns whether a response after the latency objective has no value, so that the request may be given up. */
    boolean isWorthlessWhenLate() {
        return isIdempotent() && lateValueFraction == 0;
    }
}
