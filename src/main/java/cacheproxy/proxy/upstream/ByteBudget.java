package cacheproxy.proxy.upstream;

/** Limits the total size of the values of all pending writes. */
final class ByteBudget {
    private final long maxBytes;
    private long reservedBytes;

    ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes, which must be released once; returns false if they would exceed the limit. */
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
