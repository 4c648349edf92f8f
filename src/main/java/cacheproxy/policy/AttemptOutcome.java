package cacheproxy.policy;

/** How an attempt, or a probe, ended. */
public enum AttemptOutcome {
    /** The request was served. */
    OK(true),
    /** The cache server does not have the key; the request had no effect. */
    MISS(false),
    /** The server responded with an error. */
    ERROR(true),
    /** The server rejected the request unprocessed: its queue is full or it is draining. */
    FULL(false),
    /** No response came in time. */
    TIMEOUT(true),
    /** No connection was established in time, or it broke before the request was written. */
    CONNECT_FAILED(false),
    /** The connection broke while the attempt was in flight. */
    RESET(true),
    /** The attempt was cancelled. */
    CANCELLED(true),
    /** The attempt was never sent: the request had ended, its time had run out or the limit on attempts was reached. */
    NOT_SENT(false);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the request may have taken effect, or may still do so. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
