package cacheproxy.proxy.upstream;

/** Bounds the bytes that the values of all pending writes take together. */
final class ByteBudget {
    private final long maxBytes;
    private long reservedBytes;

    ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves the bytes, to be released once; or returns false if they are too many. */
    boolean reserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases reserved bytes. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
