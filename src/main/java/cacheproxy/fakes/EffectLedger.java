package cacheproxy.fakes;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Counts the effects of writes on all fake servers together. A write is identified by its idempotency key, or by its
 * unique value if it has no key. Thread-safe.
 */
public final class EffectLedger {
    private final Map<String, Integer> effectCounts = new HashMap<>();
    private Consumer<String> observer = writeId -> {};
    private long reads;
    private int droppedRepeats;

    /** Sets an observer that is called for each effect with the id of the write, on the thread of the fake server. */
    public synchronized void setObserver(Consumer<String> newObserver) {
        observer = newObserver;
    }

    /** Records that a write took effect. */
    public synchronized void recordEffect(String writeId) {
        effectCounts.merge(writeId, 1, Integer::sum);
        observer.accept(writeId);
    }

    /** Records that a repeated write was recognized by its idempotency key and dropped. */
    public synchronized void recordDroppedRepeat() {
        droppedRepeats++;
    }

    public synchronized void recordRead() {
        reads++;
    }

    public synchronized long reads() {
        return reads;
    }

    public synchronized int droppedRepeats() {
        return droppedRepeats;
    }

    /** Returns how many times a write took effect. */
    public synchronized int effectCount(String writeId) {
        return effectCounts.getOrDefault(writeId, 0);
    }

    /** Returns the number of writes that took effect at least once. */
    public synchronized int writes() {
        return effectCounts.size();
    }

    /** Returns the number of effects beyond the first of each write. */
    public synchronized int repeatedEffects() {
        return effectCounts.values().stream().mapToInt(count -> count - 1).sum();
    }
}
