package cacheproxy.proxy.upstream;

import cacheproxy.proxy.memory.MemoryLimits;
import cacheproxy.proxy.request.MetaCodec;

/**
 * Resource limits of the connections of one event loop, and how they flush.
 *
 * @param maxValueBytes the maximum total size of the values of pending writes
 * @param maxServerConnections the maximum number of connections to all servers together
 * @param batchFlushes whether flushes are delayed to the end of a turn of the loop; see
 *     {@link cacheproxy.proxy.net.FlushBatcher}
 */
public record EventLoopLimits(long maxValueBytes, int maxServerConnections, boolean batchFlushes) {
    /** Values that are held for clients get this fraction of the memory for the values of writes, in addition. */
    private static final int HELD_VALUES_DIVISOR = 2;
    /** Commands that wait for their responses get this fraction of the heap. */
    private static final int COMMAND_HEAP_DIVISOR = 5;

    /** The limits of all memory that is held for clients. */
    MemoryLimits memory() {
        long commandBytes = Runtime.getRuntime().maxMemory() / COMMAND_HEAP_DIVISOR;
        return MemoryLimits.of(maxValueBytes, heldValueBytes(), unknownLengthBytes(), commandBytes);
    }

    /**
     * The memory for long bodies whose length was not announced, in bytes: as many of maximum length as fit into the
     * memory for the values of writes, and at least one.
     */
    long unknownLengthBytes() {
        return Math.max(1, maxValueBytes / MetaCodec.MAX_VALUE_BYTES) * MetaCodec.MAX_VALUE_BYTES;
    }

    /** The memory for long values that are held until they are whole, in bytes: at least one of maximum length. */
    long heldValueBytes() {
        return Math.max(MetaCodec.MAX_VALUE_BYTES, maxValueBytes / HELD_VALUES_DIVISOR);
    }
}
