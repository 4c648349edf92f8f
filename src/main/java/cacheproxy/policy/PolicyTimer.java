package cacheproxy.policy;

/** The policy's timers. A timer's token holds its kind in the lowest two bits and a request's number above them. */
enum PolicyTimer {
    /** A request's deadline has passed. */
    DEADLINE(0),
    /** The hedging delay of a request's latest attempt has elapsed. */
    HEDGING(1),
    /** A request has waited long enough for a sibling, for another proxy's fetch or for the origin to recover. */
    RETRY(2),
    /** The subscription to the endpoint list is due; belongs to no request. */
    WATCH(3);

    /** Largest request number that fits into a token; also a mask of all its bits. */
    static final int REQUEST_NUMBER_MASK = (1 << 30) - 1;

    private static final int KIND_BITS = 2;
    private static final int KIND_MASK = (1 << KIND_BITS) - 1;

    private final int code;

    PolicyTimer(int code) {
        this.code = code;
    }

    /** Returns the token of a timer that belongs to a request. */
    int token(PendingRequest pending) {
        return pending.number() << KIND_BITS | code;
    }

    /** Returns the token of a timer that belongs to no request. */
    int token() {
        return code;
    }

    /** Returns the kind of the timer with a token. */
    static PolicyTimer of(int token) {
        return switch (token & KIND_MASK) {
            case 0 -> DEADLINE;
            case 1 -> HEDGING;
            case 2 -> RETRY;
            default -> WATCH;
        };
    }

    /** Returns the number of the request that a timer belongs to; 0 if it belongs to none. */
    static int requestNumber(int token) {
        return token >>> KIND_BITS;
    }
}
