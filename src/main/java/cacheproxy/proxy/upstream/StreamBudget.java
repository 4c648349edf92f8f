package cacheproxy.proxy.upstream;

/**
 * Divides the memory for streamed responses, the parts of long values that wait for slow clients, among them. Each gets
 * its share of what there is when it begins, within bounds.
 */
final class StreamBudget {
    private static final int MAX_STREAM_BYTES = 64 << 10;
    private static final int MIN_STREAM_BYTES = 8 << 10;
    private static final int MIN_TOTAL_BYTES = 1 << 20;

    private final long totalBytes;
    private int openStreams;

    /** @param maxValueBytes the memory for the values of writes; streams get half as much more */
    StreamBudget(long maxValueBytes) {
        totalBytes = Math.max(MIN_TOTAL_BYTES, maxValueBytes / 2);
    }

    /** A streamed response begins. Returns how many bytes of it may wait for its client. */
    int openStream() {
        openStreams++;
        return (int) Math.max(MIN_STREAM_BYTES, Math.min(MAX_STREAM_BYTES, totalBytes / openStreams));
    }

    /** A streamed response has ended. */
    void closeStream() {
        openStreams--;
    }
}
