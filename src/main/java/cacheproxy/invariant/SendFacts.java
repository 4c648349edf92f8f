package cacheproxy.invariant;

/**
 * What {@link SendGuard} has to know of an attempt that is about to begin. Times are milliseconds on one monotonic
 * clock.
 */
public interface SendFacts {
    /** When the request's time is over for this attempt. */
    double deadlineMs();

    /** Whether the client has closed its connection, or has had its answer. */
    boolean abandoned();

    /** The last moment at which it may begin, where an earlier attempt may have run; infinite: at any time. */
    double repeatUntilMs();

    /** Whether the request may take effect only once and servers drop no repeats of it. */
    boolean singleEffect();

    /** Whether an earlier attempt has begun that may have run, or may yet. */
    boolean earlierMayHaveRun();

    /** Whether an earlier attempt is out. */
    boolean earlierOut();

    /** Whether two attempts of a request may be out at once. */
    boolean secondCopiesAllowed();

    /** Since when this proxy knows that the server is draining or gone; infinite: it is ready. */
    double serverLeftMs();
}
