package cacheproxy.fleet.quota;

/**
 * Amounts that one process has promised to another one after the other, with expiry times that do not decrease. The
 * largest amount that has not expired counts, because the promising process cannot know which of its messages have
 * arrived.
 */
final class OutstandingAmounts {
    /** Maximum number of entries; beyond it the two oldest are merged into one. */
    static final int MAX_ENTRIES = 12;

    private final double[] amounts = new double[MAX_ENTRIES];
    private final double[] untilMs = new double[MAX_ENTRIES];
    private final boolean mergeKeepsLarger;
    private int size;

    /**
     * Creates an empty list.
     *
     * @param mergeKeepsLarger true for promises that this process has to keep, so that merging keeps the larger amount;
     *     false for promises that it relies on, so that merging keeps the later, smaller amount
     */
    OutstandingAmounts(boolean mergeKeepsLarger) {
        this.mergeKeepsLarger = mergeKeepsLarger;
    }

    /**
     * Adds a promise.
     *
     * @param newUntilMs the expiry time, not before that of any earlier promise
     */
    void add(double amount, double newUntilMs) {
        while (size > 0 && amounts[size - 1] <= amount) {
            size--; // the new amount is no smaller and expires no earlier
        }
        if (amount <= 0) {
            return;
        }
        if (size == MAX_ENTRIES) {
            mergeOldest();
        }
        amounts[size] = amount;
        untilMs[size] = size > 0 ? Math.max(newUntilMs, untilMs[size - 1]) : newUntilMs;
        size++;
    }

    private void mergeOldest() {
        if (mergeKeepsLarger) {
            amounts[1] = amounts[0];
        }
        removeFirst(1);
    }

    private void removeFirst(int count) {
        System.arraycopy(amounts, count, amounts, 0, size - count);
        System.arraycopy(untilMs, count, untilMs, 0, size - count);
        size -= count;
    }

    /** Returns the largest amount that has not expired at a time; 0 if all have expired. */
    double amountAt(double timeMs) {
        for (int i = 0; i < size; i++) {
            if (untilMs[i] > timeMs) {
                return amounts[i];
            }
        }
        return 0;
    }

    /** Limits all amounts, because the peer has stated that it uses no more than this. */
    void cap(double limit) {
        int kept = 0;
        for (int i = 0; i < size; i++) {
            double amount = Math.min(amounts[i], limit);
            while (kept > 0 && amounts[kept - 1] <= amount) {
                kept--;
            }
            if (amount > 0) {
                amounts[kept] = amount;
                untilMs[kept] = untilMs[i];
                kept++;
            }
        }
        size = kept;
    }

    /** Removes expired amounts; returns whether none is left. */
    boolean removeExpired(double nowMs) {
        int expired = 0;
        while (expired < size && untilMs[expired] <= nowMs) {
            expired++;
        }
        removeFirst(expired);
        return size == 0;
    }
}
