package cacheproxy.fleet.quota;

/**
 * Amounts promised one after another to one peer, each until a time that does not decrease. The largest one that has
 * not expired counts, as the promiser cannot know which of them have arrived.
 */
final class OutstandingAmounts {
    /** Beyond these the two oldest are merged into one. */
    static final int MAX_ENTRIES = 12;

    private final double[] amounts = new double[MAX_ENTRIES];
    private final double[] untilMs = new double[MAX_ENTRIES];
    private final boolean mergeKeepsLarger;
    private int size;

    /**
     * Creates an empty list.
     *
     * @param mergeKeepsLarger whether these are promises that this process has to keep, so that merging takes the
     *     larger amount; else they are promises that it relies on, and merging takes the later one
     */
    OutstandingAmounts(boolean mergeKeepsLarger) {
        this.mergeKeepsLarger = mergeKeepsLarger;
    }

    /**
     * Adds a promise.
     *
     * @param newUntilMs not before that of any earlier one
     */
    void add(double amount, double newUntilMs) {
        while (size > 0 && amounts[size - 1] <= amount) {
            size--; // the new one is no smaller and expires later
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

    /** The largest amount that has not expired at a time; 0 if all have. */
    double amountAt(double timeMs) {
        for (int i = 0; i < size; i++) {
            if (untilMs[i] > timeMs) {
                return amounts[i];
            }
        }
        return 0;
    }

    /** The peer has stated that it uses no more than this. */
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

    /** Removes what has expired; returns whether nothing is left. */
    boolean removeExpired(double nowMs) {
        int expired = 0;
        while (expired < size && untilMs[expired] <= nowMs) {
            expired++;
        }
        removeFirst(expired);
        return size == 0;
    }
}
