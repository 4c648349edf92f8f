package cacheproxy.fleet.quota;

/** The share of a quota that a proxy owns. It shrinks at once, and grows after other proxies have given theirs up. */
final class StaticShare {
    private boolean configured;
    private double amount;
    private double nextAmount;
    private double growAtMs = Double.POSITIVE_INFINITY;

    /**
     * Takes another share from the configuration.
     *
     * @param growableAtMs when the shares that others had before can no longer be spent
     */
    void configure(double newAmount, double growableAtMs) {
        if (!configured || newAmount <= amount) {
            amount = newAmount;
            growAtMs = Double.POSITIVE_INFINITY;
        } else if (newAmount != nextAmount || growAtMs == Double.POSITIVE_INFINITY) {
            nextAmount = newAmount;
            growAtMs = growableAtMs;
        }
        configured = true;
    }

    /** The share now. */
    double amountAt(double nowMs) {
        if (nowMs >= growAtMs) {
            amount = nextAmount;
            growAtMs = Double.POSITIVE_INFINITY;
        }
        return amount;
    }
}
