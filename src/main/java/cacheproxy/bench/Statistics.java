package cacheproxy.bench;

import java.util.Arrays;

/** Means and medians with their intervals of confidence, as text. */
final class Statistics {
    /** Two-sided 95% quantiles of Student's t, by degrees of freedom from 0 on. */
    private static final double[] STUDENT_T = {
        0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18
    };

    private static final double STUDENT_T_OF_MORE = 2.0;
    /** Half of the normal distribution's two-sided 95% quantile: ranks of a median lie so many roots of n from it. */
    private static final double MEDIAN_RANKS_PER_ROOT = 0.98;

    private Statistics() {}

    /** The mean and the half width of its 95% interval by Student's t: {@code mean +- half}. */
    static String meanWithInterval(double[] values, int digits) {
        double mean = Arrays.stream(values).average().orElse(0);
        int degrees = values.length - 1;
        double squares = Arrays.stream(values)
                .map(value -> (value - mean) * (value - mean))
                .sum();
        double variance = squares / Math.max(1, degrees);
        double quantile = degrees < STUDENT_T.length ? STUDENT_T[degrees] : STUDENT_T_OF_MORE;
        double half = quantile * Math.sqrt(variance / values.length);
        return String.format("%." + digits + "f +- %." + Math.max(digits, 1) + "f", mean, half);
    }

    /** The median with its own 95% interval, by ranks (binomial), and the quartiles, which tell of single windows. */
    static String medianWithInterval(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int count = sorted.length;
        int ranks = (int) Math.ceil(MEDIAN_RANKS_PER_ROOT * Math.sqrt(count));
        return String.format(
                "%.3f (95%% %.3f to %.3f; quartiles %.3f, %.3f)",
                sorted[count / 2],
                sorted[Math.max(0, count / 2 - ranks)],
                sorted[Math.min(count - 1, count / 2 + ranks)],
                sorted[count / 4],
                sorted[count * 3 / 4]);
    }
}
