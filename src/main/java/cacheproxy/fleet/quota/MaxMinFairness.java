package cacheproxy.fleet.quota;

import java.util.Arrays;

/** Max-min fairness: no request gets more than it asks for, and all requests that get less get the same amount. */
public final class MaxMinFairness {
    private MaxMinFairness() {}

    /**
     * Returns the level at which to cap each request so that all together get no more than the available amount.
     *
     * @param requested the requested amounts, each 0 or more
     * @param amount the available amount
     * @return positive infinity if there is enough for all
     */
    public static double fairLevel(double[] requested, double amount) {
        double[] sorted = requested.clone();
        Arrays.sort(sorted);
        double remaining = Math.max(0, amount);
        for (int i = 0; i < sorted.length; i++) {
            double equalShare = remaining / (sorted.length - i);
            if (sorted[i] > equalShare) {
                return equalShare;
            }
            remaining -= sorted[i];
        }
        return Double.POSITIVE_INFINITY;
    }
}
