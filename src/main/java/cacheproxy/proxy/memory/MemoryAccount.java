package cacheproxy.proxy.memory;

import java.util.EnumMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Executor;

/**
 * The bytes that an event loop holds for its clients. A purpose can have up to its maximum, as long as the guaranteed
 * parts of all others stay free for them. Whoever reserves bytes releases them once; whoever is refused can wait for
 * others to release some. Used on the event loop only.
 */
public final class MemoryAccount {
    private final Executor loop;
    private final long totalBytes;
    private final Map<MemoryPurpose, PurposeUsage> usages = new EnumMap<>(MemoryPurpose.class);
    /** The bytes that can't be given to any further purpose: what is used, and what is guaranteed and unused. */
    private long committedBytes;

    private long usedBytes;
    private long peakBytes;
    private int waiterCount;
    private boolean wakeScheduled;

    private final Runnable wake = this::wake;

    /** Waits for memory of one purpose. */
    @FunctionalInterface
    public interface Waiter {
        /** Called when memory may be available; returns whether the wait is over, otherwise it continues. */
        boolean resume();
    }

    /**
     * Creates an account of which nothing is used.
     *
     * @param loop runs those that wait, after the event that released memory
     */
    public MemoryAccount(Executor loop, MemoryLimits limits) {
        this.loop = loop;
        totalBytes = limits.totalBytes();
        for (MemoryPurpose purpose : MemoryPurpose.values()) {
            PurposeUsage usage = new PurposeUsage(limits.of(purpose));
            usages.put(purpose, usage);
            committedBytes += usage.committedBytes();
        }
    }

    /** Reserves bytes; returns false, and reserves nothing, if the purpose can't have them now. */
    public boolean reserve(MemoryPurpose purpose, long bytes) {
        PurposeUsage usage = usages.get(purpose);
        if (!usage.allows(bytes, totalBytes - committedBytes)) {
            usage.recordRefusal();
            return false;
        }
        add(usage, bytes);
        return true;
    }

    /** Returns whether the purpose could have these bytes now. */
    public boolean isAvailable(MemoryPurpose purpose, long bytes) {
        return usages.get(purpose).allows(bytes, totalBytes - committedBytes);
    }

    /** Counts bytes that are held in any case, even beyond the limits. */
    public void charge(MemoryPurpose purpose, long bytes) {
        add(usages.get(purpose), bytes);
    }

    private void add(PurposeUsage usage, long bytes) {
        committedBytes -= usage.committedBytes();
        usage.add(bytes);
        committedBytes += usage.committedBytes();
        usedBytes += bytes;
        peakBytes = Math.max(peakBytes, usedBytes);
    }

    /** Gives back bytes that were reserved or charged for the purpose. */
    public void release(MemoryPurpose purpose, long bytes) {
        if (bytes == 0) {
            return;
        }
        add(usages.get(purpose), -bytes);
        if (waiterCount > 0) {
            scheduleWake();
        }
    }

    // ---- waiting

    /** Adds one that waits for memory of the purpose, behind those that wait already. */
    public void await(MemoryPurpose purpose, Waiter waiter) {
        usages.get(purpose).waiters().add(waiter);
        waiterCount++;
    }

    /** Removes one that waits; has no effect if it does not. */
    public void cancelWait(MemoryPurpose purpose, Waiter waiter) {
        if (usages.get(purpose).waiters().remove(waiter)) {
            waiterCount--;
            scheduleWake(); // those behind it may not have to wait
        }
    }

    /** Lets those that wait try again later in this turn of the event loop, or in the next. */
    public void scheduleWake() {
        if (!wakeScheduled) {
            wakeScheduled = true;
            loop.execute(wake);
        }
    }

    private void wake() {
        wakeScheduled = false;
        for (PurposeUsage usage : usages.values()) {
            Queue<Waiter> waiters = usage.waiters();
            for (Waiter first; (first = waiters.peek()) != null && first.resume(); ) {
                waiters.remove();
                waiterCount--;
            }
        }
    }

    // ---- for operators and tests

    /** The bytes that are held for the purpose. */
    public long usedBytes(MemoryPurpose purpose) {
        return usages.get(purpose).usedBytes();
    }

    /** The bytes that are held for all purposes. */
    public long usedBytes() {
        return usedBytes;
    }

    /** The most that the purpose can have, in bytes. */
    public long maxBytes(MemoryPurpose purpose) {
        return usages.get(purpose).maxBytes();
    }

    /** The bytes of all purposes together. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Describes the account: in all and for each purpose, what is used, the peak, and how often it was refused. */
    public String summary() {
        StringBuilder text = new StringBuilder(
                "used=" + usedBytes + " peak=" + peakBytes + " total=" + totalBytes + " waiting=" + waiterCount);
        usages.forEach((purpose, usage) ->
                text.append('\n').append(purpose.label()).append(' ').append(usage.summary()));
        return text.toString();
    }
}
