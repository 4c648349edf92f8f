package cacheproxy.proxy.memory;

import cacheproxy.proxy.request.MetaCodec;
import java.util.EnumMap;
import java.util.Map;

/**
 * How many bytes an account has in all, and for each purpose: the part that is kept free for it, and the most that it
 * can have.
 */
public final class MemoryLimits {
    private static final long MIB = 1 << 20;
    private static final long RESPONSE_BYTES = 2 * MIB;
    /** Enough for one connection that has sent as many commands as it may. */
    private static final long QUEUED_RESPONSE_BYTES = 2 * MIB;

    private static final long STREAMED_VALUE_BYTES = MIB;
    private static final long INPUT_BYTES = MIB;
    /** The value of a write and its line end. */
    private static final long LONGEST_WRITE_BYTES = MetaCodec.MAX_VALUE_BYTES + 2;

    /**
     * The limits of one purpose.
     *
     * @param guaranteedBytes the bytes that no other purpose can take
     * @param maxBytes the most that the purpose can have
     */
    record Limit(long guaranteedBytes, long maxBytes) {}

    private final Map<MemoryPurpose, Limit> limits = new EnumMap<>(MemoryPurpose.class);
    private long totalBytes;

    private MemoryLimits() {}

    /**
     * Derives the limits of an event loop.
     *
     * @param writeBytes the most for the values of writes, in bytes
     * @param heldValueBytes the most for held values, in bytes
     * @param unknownLengthBytes the most for bodies of unknown length, in bytes
     * @param commandBytes the most for commands, in bytes of heap
     */
    public static MemoryLimits of(long writeBytes, long heldValueBytes, long unknownLengthBytes, long commandBytes) {
        long guaranteedWriteBytes = Math.min(writeBytes, LONGEST_WRITE_BYTES);
        long sharedBytes = writeBytes - guaranteedWriteBytes;
        MemoryLimits limits = new MemoryLimits();
        limits.totalBytes = sharedBytes;
        limits.add(MemoryPurpose.RESPONSE, RESPONSE_BYTES, RESPONSE_BYTES + sharedBytes);
        limits.add(MemoryPurpose.QUEUED_RESPONSE, QUEUED_RESPONSE_BYTES, QUEUED_RESPONSE_BYTES + sharedBytes);
        limits.add(MemoryPurpose.STREAMED_VALUE, STREAMED_VALUE_BYTES, STREAMED_VALUE_BYTES + sharedBytes);
        limits.add(MemoryPurpose.HELD_VALUE, heldValueBytes, heldValueBytes);
        limits.add(MemoryPurpose.UNKNOWN_LENGTH_BODY, MetaCodec.MAX_VALUE_BYTES, unknownLengthBytes);
        limits.add(MemoryPurpose.WRITE_VALUE, guaranteedWriteBytes, writeBytes);
        limits.add(MemoryPurpose.COMMAND, commandBytes, commandBytes);
        limits.add(MemoryPurpose.INPUT, INPUT_BYTES, INPUT_BYTES + sharedBytes);
        return limits;
    }

    /** Limits for one purpose alone; all others have nothing. */
    public static MemoryLimits ofOnly(MemoryPurpose purpose, long maxBytes) {
        MemoryLimits limits = new MemoryLimits();
        for (MemoryPurpose other : MemoryPurpose.values()) {
            limits.add(other, 0, 0);
        }
        limits.add(purpose, maxBytes, maxBytes);
        return limits;
    }

    private void add(MemoryPurpose purpose, long guaranteedBytes, long maxBytes) {
        limits.put(purpose, new Limit(guaranteedBytes, maxBytes));
        totalBytes += guaranteedBytes;
    }

    /** The bytes of all purposes together. */
    long totalBytes() {
        return totalBytes;
    }

    /** The limits of one purpose. */
    Limit of(MemoryPurpose purpose) {
        return limits.get(purpose);
    }
}
