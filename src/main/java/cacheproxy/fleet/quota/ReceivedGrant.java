package cacheproxy.fleet.quota;

/** The grant that a proxy spends beside its own share. */
final class ReceivedGrant {
    private double amount;
    private double untilMs = Double.NEGATIVE_INFINITY;
    private long allocator;
    private long newestRequestId = Long.MIN_VALUE;

    /**
     * What may be spent of it now.
     *
     * @param decayMs for how long after its expiry it decays to nothing; 0 if it ends at once
     */
    double amountAt(double nowMs, double decayMs) {
        if (nowMs < untilMs) {
            return amount;
        }
        return nowMs < untilMs + decayMs ? amount * (1 - (nowMs - untilMs) / decayMs) : 0;
    }

    /** The amount until the expiry, also after it. */
    double amount() {
        return amount;
    }

    /** When it expires. */
    double untilMs() {
        return untilMs;
    }

    /** Whether something is granted that could be given back. */
    boolean isActive(double nowMs) {
        return amount > 0 && nowMs < untilMs;
    }

    /**
     * Whether a reply replaces this grant. A larger grant of another allocator that still runs is kept: it is covered
     * there, and that allocator cannot be told.
     */
    boolean isReplacedBy(long newAllocator, long requestId, double newAmount, double nowMs) {
        boolean isOutdated = requestId < newestRequestId || (requestId == newestRequestId && newAmount <= amount);
        boolean isSmaller = newAllocator != allocator && nowMs < untilMs && newAmount < amount;
        return !isOutdated && !isSmaller;
    }

    /** Remembers whose reply to which request it stems from. */
    void setSource(long newAllocator, long requestId) {
        allocator = newAllocator;
        newestRequestId = requestId;
    }

    /** Sets what may be spent until when. */
    void set(double newAmount, double newUntilMs) {
        amount = newAmount;
        untilMs = newUntilMs;
    }
}
