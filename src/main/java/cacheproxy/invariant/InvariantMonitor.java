package cacheproxy.invariant;

import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Counts, for each invariant, the actions stopped because they would have violated it, and the violations. Stopped
 * actions are expected when faults occur; a violation is a defect. Not thread-safe; its size is fixed.
 */
public final class InvariantMonitor {
    private final Map<Invariant, Long> stoppedCounts = new EnumMap<>(Invariant.class);
    private final Map<Invariant, Long> violationCounts = new EnumMap<>(Invariant.class);
    private InvariantListener listener;

    /** Creates a monitor whose listener is notified of each stopped action and violation. */
    public InvariantMonitor(InvariantListener listener) {
        this.listener = listener;
    }

    /** Replaces the listener. */
    public void setListener(InvariantListener listener) {
        this.listener = listener;
    }

    /**
     * Counts an action that was stopped because it would have violated the invariant; {@code requestId} may be null.
     */
    public void recordStopped(Invariant invariant, String requestId, String reason) {
        stoppedCounts.merge(invariant, 1L, Long::sum);
        listener.stopped(invariant, requestId, reason);
    }

    /** Counts a violation of the invariant; {@code requestId} may be null. */
    public void recordViolation(Invariant invariant, String requestId, String reason) {
        violationCounts.merge(invariant, 1L, Long::sum);
        listener.violated(invariant, requestId, reason);
    }

    /** Returns the number of actions stopped because of this invariant. */
    public long stoppedCount(Invariant invariant) {
        return stoppedCounts.getOrDefault(invariant, 0L);
    }

    /** Returns the number of violations of this invariant. */
    public long violationCount(Invariant invariant) {
        return violationCounts.getOrDefault(invariant, 0L);
    }

    /** Returns the number of violations of all invariants. */
    public long violationCount() {
        return sum(violationCounts);
    }

    /**
     * Returns one line, {@code violations=N stopped=N}, followed by the counters of each invariant that are not zero.
     */
    public String summary() {
        StringJoiner line = new StringJoiner(" ");
        line.add("violations=" + sum(violationCounts));
        line.add("stopped=" + sum(stoppedCounts));
        violationCounts.forEach((invariant, count) -> line.add("violated_" + invariant.label() + "=" + count));
        stoppedCounts.forEach((invariant, count) -> line.add("stopped_" + invariant.label() + "=" + count));
        return line.toString();
    }

    private static long sum(Map<Invariant, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
