package cacheproxy.fleet.quota;

/** The grant that a proxy spends in addition to its own share. */
final class ReceivedGrant {
    private double amount;
    private double untilMs = Double.NEGATIVE_INFINITY;
    private long allocator;
    private long newestRequestId = Long.MIN_VALUE;

    /**
     * Returns the amount that may be spent now.
     *
     * @param decayMs how long the grant takes to decay to 0 after its expiry; 0 if it ends immediately
     */
    double amountAt(double nowMs, double decayMs) {
        if (nowMs < untilMs) {
            return amount;
        }
        return nowMs < untilMs + decayMs ? amount * (1 - (nowMs - untilMs) / decayMs) : 0;
    }

    /** Returns the granted amount, even after the grant has expired. */
    double amount() {
        return amount;
    }

    /** Returns when the grant expires. */
    double untilMs() {
        return untilMs;
    }

    /** Returns whether an amount is granted that could be given back. */
    boolean isActive(double nowMs) {
        return amount > 0 && nowMs < untilMs;
    }

    /**
     * Returns whether a reply replaces this grant. A larger grant of another allocator that has not expired is kept,
     * because it is covered there and that allocator cannot be notified.
     */
    boolean isReplacedBy(long newAllocator, long requestId, double newAmount, double nowMs) {
        boolean isOutdated = requestId < newestRequestId || (requestId == newestRequestId && newAmount <= amount);
        boolean isSmaller = newAllocator != allocator && nowMs < untilMs && newAmount < amount;
        return !isOutdated && !isSmaller;
    }

    /** Records the allocator and the request that the grant belongs to. */
    void setSource(long newAllocator, long requestId) {
        allocator = newAllocator;
        newestRequestId = requestId;
    }

    /** Sets the amount that may be spent, and its expiry time. */
    void set(double newAmount, double newUntilMs) {
        amount = newAmount;
        untilMs = newUntilMs;
    }
}
