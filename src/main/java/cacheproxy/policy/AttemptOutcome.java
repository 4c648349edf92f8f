package cacheproxy.policy;

/** How an attempt ended. */
public enum AttemptOutcome {
    OK(true),
    MISS(false),
    ERROR(true),
    FULL(false),
    TIMEOUT(true),
    CONNECT_FAILED(false),
    RESET(true),
    CANCELLED(true),
    NOT_SENT(false);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the request may have taken effect (or may yet). */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
