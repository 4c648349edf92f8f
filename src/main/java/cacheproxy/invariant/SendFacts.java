package cacheproxy.invariant;

/** What {@link SendGuard} needs to know about an attempt. Times are milliseconds of one monotonic clock. */
public interface SendFacts {
    /** The deadline of the request for this attempt. */
    double deadlineMs();

    /** Whether the client has disconnected or has received its response. */
    boolean abandoned();

    /**
     * The latest time at which the attempt may begin, if an earlier attempt may have been processed; infinite if there
     * is no limit.
     */
    double retryUntilMs();

    /** Whether the request must take effect at most once and servers drop no duplicates of it. */
    boolean singleEffect();

    /** Whether an earlier attempt may have been processed, or may yet be. */
    boolean earlierAttemptMayHaveRun();

    /** Whether an earlier attempt is in flight. */
    boolean earlierAttemptInFlight();

    /** Whether two attempts of the request may be in flight at once. */
    boolean hedgingAllowed();

    /** Since when the server is known to be draining or gone; infinite if it is ready. */
    double serverUnavailableSinceMs();

    /**
     * Whether the server is in its slow start and its budget has no part for this attempt. May take the part; is asked
     * after all other facts.
     */
    boolean exceedsSlowStartBudget();
}
