package cacheproxy.fakes;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Counts what has taken effect, at all stand-ins together. A write is known by its idempotency key, or by the client's
 * own mark in the value where it has none. Thread-safe.
 */
public final class EffectLedger {
    private final Map<String, Integer> effectCounts = new HashMap<>();
    private Consumer<String> observer = writeId -> {};
    private long reads;
    private int droppedRepeats;

    /** Told of each effect with its mark, on the thread of the stand-in. */
    public synchronized void setObserver(Consumer<String> newObserver) {
        observer = newObserver;
    }

    /** A write took effect. */
    public synchronized void recordEffect(String writeId) {
        effectCounts.merge(writeId, 1, Integer::sum);
        observer.accept(writeId);
    }

    /** A repeat was recognised and dropped. */
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

    /** How many times a write took effect. */
    public synchronized int effectCount(String writeId) {
        return effectCounts.getOrDefault(writeId, 0);
    }

    /** Writes that took effect at least once. */
    public synchronized int writes() {
        return effectCounts.size();
    }

    /** Effects beyond the first of each write. */
    public synchronized int repeatedEffects() {
        return effectCounts.values().stream().mapToInt(count -> count - 1).sum();
    }
}
