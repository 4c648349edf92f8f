package cacheproxy.fleet.quota;

import java.util.Arrays;

/** Max-min fairness: nobody gets more than requested, and all who get less get the same. */
public final class MaxMinFairness {
    private MaxMinFairness() {}

    /**
     * The level at which to cap each request so that all together get no more than there is.
     *
     * @param requested each 0 or more
     * @param amount what there is
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
