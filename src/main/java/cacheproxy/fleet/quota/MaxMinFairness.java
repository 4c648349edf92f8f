package cacheproxy.fleet.quota;

import java.util.Arrays;

/** Max-min fair parts: nobody gets more than he wants, and who gets less than that gets as much as any other. */
public final class MaxMinFairness {
    private MaxMinFairness() {}

    /**
     * The level up to which everybody is served, so that all together get no more than there is.
     *
     * @param wanted each 0 or more
     * @return positive infinity where there is enough for all
     */
    public static double level(double[] wanted, double amount) {
        double[] sorted = wanted.clone();
        Arrays.sort(sorted);
        double left = Math.max(0, amount);
        for (int i = 0; i < sorted.length; i++) {
            double each = left / (sorted.length - i);
            if (sorted[i] > each) {
                return each;
            }
            left -= sorted[i];
        }
        return Double.POSITIVE_INFINITY;
    }
}
