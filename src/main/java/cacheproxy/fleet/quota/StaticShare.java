package cacheproxy.fleet.quota;

/**
 * The share of a quota that a proxy owns. It decreases immediately, and increases only after other proxies have given
 * up their part.
 */
final class StaticShare {
    private boolean configured;
    private double amount;
    private double nextAmount;
    private double growAtMs = Double.POSITIVE_INFINITY;

    /**
     * Sets the share to that of a new configuration.
     *
     * @param growableAtMs when the previous shares of other proxies can no longer be spent
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

    /** Returns the share at a time. */
    double amountAt(double nowMs) {
        if (nowMs >= growAtMs) {
            amount = nextAmount;
            growAtMs = Double.POSITIVE_INFINITY;
        }
        return amount;
    }
}
