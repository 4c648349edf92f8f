package cacheproxy.proxy.upstream;

/**
 * Divides the memory for streamed responses, in which parts of long values wait for slow clients. When a response
 * begins, it gets an equal share of the memory, within bounds.
 */
final class StreamBudget {
    private static final int MAX_STREAM_BYTES = 64 << 10;
    private static final int MIN_STREAM_BYTES = 8 << 10;
    private static final int MIN_TOTAL_BYTES = 1 << 20;

    private final long totalBytes;
    private int openStreams;

    /** @param maxValueBytes the memory for the values of writes; streams get half as much in addition */
    StreamBudget(long maxValueBytes) {
        totalBytes = Math.max(MIN_TOTAL_BYTES, maxValueBytes / 2);
    }

    /** Records that a streamed response begins. Returns how many of its bytes may wait for its client. */
    int openStream() {
        openStreams++;
        return (int) Math.max(MIN_STREAM_BYTES, Math.min(MAX_STREAM_BYTES, totalBytes / openStreams));
    }

    /** Records that a streamed response has ended. */
    void closeStream() {
        openStreams--;
    }
}
