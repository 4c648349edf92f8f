package cacheproxy.proxy.memory;

import java.util.ArrayDeque;
import java.util.Queue;

/** What one purpose of a {@link MemoryAccount} uses, and who waits for more. */
final class PurposeUsage {
    private final MemoryLimits.Limit limit;
    private final Queue<MemoryAccount.Waiter> waiters = new ArrayDeque<>();
    private long usedBytes;
    private long peakBytes;
    private long refusals;

    PurposeUsage(MemoryLimits.Limit limit) {
        this.limit = limit;
    }

    /** The bytes that no other purpose can have: those that are used, and those that are guaranteed and unused. */
    long committedBytes() {
        return committedBytes(usedBytes);
    }

    private long committedBytes(long used) {
        return Math.max(used, limit.guaranteedBytes());
    }

    /** Returns whether the bytes are within the maximum, and add no more than this to the committed bytes. */
    boolean allows(long bytes, long uncommittedBytes) {
        long growth = committedBytes(usedBytes + bytes) - committedBytes();
        return usedBytes + bytes <= limit.maxBytes() && (growth == 0 || growth <= uncommittedBytes);
    }

    /** Adds used bytes; removes them if negative. */
    void add(long bytes) {
        usedBytes += bytes;
        peakBytes = Math.max(peakBytes, usedBytes);
    }

    /** Records that a reservation was refused. */
    void recordRefusal() {
        refusals++;
    }

    /** Those that wait for memory, in the order of their arrival. */
    Queue<MemoryAccount.Waiter> waiters() {
        return waiters;
    }

    /** The bytes that are used. */
    long usedBytes() {
        return usedBytes;
    }

    /** The most that may be used, in bytes. */
    long maxBytes() {
        return limit.maxBytes();
    }

    /** Describes the usage for operators. */
    String summary() {
        return "used=" + usedBytes + " peak=" + peakBytes + " max=" + limit.maxBytes() + " refused=" + refusals;
    }
}
