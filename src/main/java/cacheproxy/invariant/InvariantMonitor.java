package cacheproxy.invariant;

import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Counts, by invariant, the actions that were stopped because they would have violated it, and the violations that
 * happened all the same. What is stopped is the guard's everyday work under faults; a violation is a defect. Used on
 * one thread; holds one figure each.
 */
public final class InvariantMonitor {
    /** Told of each; {@code requestId} may be null. */
    public interface Listener {
        /** Something was stopped before it violated the invariant. */
        void stopped(Invariant invariant, String requestId, String reason);

        /** The invariant was violated. */
        void violated(Invariant invariant, String requestId, String reason);
    }

    private final Map<Invariant, Long> stopped = new EnumMap<>(Invariant.class);
    private final Map<Invariant, Long> violated = new EnumMap<>(Invariant.class);
    private Listener listener;

    /** @param listener told of each from now on */
    public InvariantMonitor(Listener listener) {
        this.listener = listener;
    }

    /** Tells somebody else from now on. */
    public void listener(Listener to) {
        listener = to;
    }

    /** An action was stopped that would have violated the invariant. */
    public void stop(Invariant invariant, String requestId, String reason) {
        stopped.merge(invariant, 1L, Long::sum);
        listener.stopped(invariant, requestId, reason);
    }

    /** The invariant was violated. */
    public void violation(Invariant invariant, String requestId, String reason) {
        violated.merge(invariant, 1L, Long::sum);
        listener.violated(invariant, requestId, reason);
    }

    /** How often something was stopped for the sake of this invariant. */
    public long stopped(Invariant invariant) {
        return stopped.getOrDefault(invariant, 0L);
    }

    /** How often this invariant was violated. */
    public long violations(Invariant invariant) {
        return violated.getOrDefault(invariant, 0L);
    }

    /** All violations. */
    public long violations() {
        return violated.values().stream().mapToLong(Long::longValue).sum();
    }

    /** One line: {@code violations=N stopped=N} and what is not zero, by name. */
    public String summary() {
        StringJoiner line = new StringJoiner(" ");
        line.add("violations=" + violations());
        line.add("stopped="
                + stopped.values().stream().mapToLong(Long::longValue).sum());
        violated.forEach((i, n) -> line.add("violated_" + i.label() + "=" + n));
        stopped.forEach((i, n) -> line.add("stopped_" + i.label() + "=" + n));
        return line.toString();
    }
}
