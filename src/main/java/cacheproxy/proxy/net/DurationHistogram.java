package cacheproxy.proxy.net;

import java.util.concurrent.TimeUnit;

/**
 * Counts durations in buckets, each of which is twice as wide as the one before; cheap enough for every turn of an
 * event loop.
 */
final class DurationHistogram {
    /** Durations under this are in the first bucket. */
    private static final long FIRST_BUCKET_NANOS = TimeUnit.MICROSECONDS.toNanos(125);

    private static final int BUCKETS = 16;
    private static final double NANOS_PER_MS = 1e6;

    private final long[] counts = new long[BUCKETS];
    private long longestNanos;

    /** Counts a duration. */
    void record(long nanos) {
        int bucket = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, nanos) / FIRST_BUCKET_NANOS);
        counts[Math.min(bucket, BUCKETS - 1)]++;
        longestNanos = Math.max(longestNanos, nanos);
    }

    /** Describes the buckets that are not empty by their upper bounds in milliseconds, and the longest duration. */
    String summary() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < BUCKETS; i++) {
            if (counts[i] > 0) {
                boolean last = i == BUCKETS - 1;
                text.append(last ? "more" : "under_" + milliseconds(FIRST_BUCKET_NANOS << i) + "ms")
                        .append('=')
                        .append(counts[i])
                        .append(' ');
            }
        }
        return text + "longest=" + milliseconds(longestNanos) + "ms";
    }

    private static String milliseconds(long nanos) {
        return Double.toString(Math.round(nanos / NANOS_PER_MS * 1000) / 1000.0);
    }
}
