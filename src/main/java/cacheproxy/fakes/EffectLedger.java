package cacheproxy.fakes;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Counts what has taken effect, at all stand-ins together. A write is known by its idempotency key, or by the client's
 * own mark in the value where it has none. Thread-safe.
 */
public final class EffectLedger {
    private final Map<String, Integer> effects = new HashMap<>();
    private Consumer<String> observer = mark -> {};
    private long reads;
    private int dropped;

    /** Told of each effect with its mark, on the thread of the stand-in. */
    public synchronized void observe(Consumer<String> by) {
        observer = by;
    }

    /** A write took effect. */
    public synchronized void effect(String mark) {
        effects.merge(mark, 1, Integer::sum);
        observer.accept(mark);
    }

    /** A repeat was recognised and dropped. */
    public synchronized void dropped() {
        dropped++;
    }

    public synchronized void read() {
        reads++;
    }

    public synchronized long reads() {
        return reads;
    }

    public synchronized int droppedRepeats() {
        return dropped;
    }

    /** How many times a write took effect. */
    public synchronized int times(String mark) {
        return effects.getOrDefault(mark, 0);
    }

    /** Writes that took effect at least once. */
    public synchronized int writes() {
        return effects.size();
    }

    /** Effects beyond the first of each write. */
    public synchronized int repeated() {
        return effects.values().stream().mapToInt(n -> n - 1).sum();
    }
}
