package cacheproxy.invariant;

/**
 * Is notified of each stopped action and of each violation; {@code requestId} is null if the action or violation
 * belongs to no request.
 */
public interface InvariantListener {
    /** An action was stopped because it would have violated the invariant. */
    void stopped(Invariant invariant, String requestId, String reason);

    /** The invariant was violated. */
    void violated(Invariant invariant, String requestId, String reason);
}
