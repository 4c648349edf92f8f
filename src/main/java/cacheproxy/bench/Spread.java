package cacheproxy.bench;

import java.util.Arrays;

/** The median of a sample with a value below and one above it. */
record Spread(double median, double low, double high) {
    /** The median with the least and the greatest value; of an even number of values, the upper median. */
    static Spread range(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return new Spread(sorted[sorted.length / 2], sorted[0], sorted[sorted.length - 1]);
    }

    /** The median with the lower and the upper quartile. */
    static Spread quartiles(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return new Spread(sorted[sorted.length / 2], sorted[sorted.length / 4], sorted[sorted.length * 3 / 4]);
    }

    /** All three values divided by a number, as for another unit. */
    Spread dividedBy(double divisor) {
        return new Spread(median / divisor, low / divisor, high / divisor);
    }

    /** The text {@code median (low-high)} with so many digits behind the point. */
    String format(int digits) {
        String number = "%." + digits + "f";
        return String.format(number + " (" + number + "-" + number + ")", median, low, high);
    }
}
