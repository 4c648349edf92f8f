package cacheproxy.fleet.quota;

/**
 * Amounts that were promised one after another, each until a time that grows from one to the next. Who made them keeps
 * to the largest that is not over yet, as he can't know which of them arrived.
 */
final class OutstandingGrants {
    /**
     * Beyond these the two oldest become one: of what is owed the larger until the later time, of what one counts on
     * the later one.
     */
    static final int MOST = 12;

    private final double[] amounts = new double[MOST];
    private final double[] untils = new double[MOST];
    private final boolean owed;
    private int size;

    /** @param owed whether it is what one has to keep to; else it is what one counts on */
    OutstandingGrants(boolean owed) {
        this.owed = owed;
    }

    /** @param until not before that of any earlier one */
    void add(double amount, double until) {
        while (size > 0 && amounts[size - 1] <= amount) {
            size--; // the later one stands for longer and for no less
        }
        if (amount <= 0) {
            return;
        }
        if (size == MOST) {
            if (owed) {
                amounts[1] = amounts[0];
            }
            System.arraycopy(amounts, 1, amounts, 0, MOST - 1);
            System.arraycopy(untils, 1, untils, 0, MOST - 1);
            size--;
        }
        amounts[size] = amount;
        untils[size++] = Math.max(until, size > 1 ? untils[size - 2] : until);
    }

    /** The largest that is not over at a time. */
    double at(double time) {
        for (int i = 0; i < size; i++) {
            if (untils[i] > time) {
                return amounts[i];
            }
        }
        return 0;
    }

    /** Whoever it was promised to has said that he uses no more than this. */
    void cap(double most) {
        int kept = 0;
        for (int i = 0; i < size; i++) {
            double amount = Math.min(amounts[i], most);
            while (kept > 0 && amounts[kept - 1] <= amount) {
                kept--;
            }
            if (amount > 0) {
                amounts[kept] = amount;
                untils[kept++] = untils[i];
            }
        }
        size = kept;
    }

    /** Forgets what is over; whether nothing is left. */
    boolean over(double now) {
        int gone = 0;
        while (gone < size && untils[gone] <= now) {
            gone++;
        }
        System.arraycopy(amounts, gone, amounts, 0, size - gone);
        System.arraycopy(untils, gone, untils, 0, size - gone);
        size -= gone;
        return size == 0;
    }
}
