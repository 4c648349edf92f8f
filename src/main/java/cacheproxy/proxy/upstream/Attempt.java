package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.request.ClientRequest;
import io.netty.buffer.ByteBuf;

/**
 * One exchange with one server, as seen by its connection: an attempt of a client's request, or a health probe.
 * Subclasses receive its progress through the callbacks. A connection reports one end; {@link #onEnd} ignores any
 * further one. Used on the event loop only; times are in milliseconds on the event loop's clock.
 */
public abstract class Attempt {
    private final ClientRequest request;
    private final int index;
    private final int server;
    private final double startedMs;
    private final double timeoutAtMs;
    private UpstreamConnection connection;
    private boolean begun;
    private boolean written;
    private boolean ended;
    private boolean abandoned;

    /**
     * Creates an attempt that has no connection yet.
     *
     * @param request the client's request; null for a probe
     * @param index the attempt's number within its request, from 0
     * @param server the server's id
     * @param startedMs when the attempt was started; it may wait for a connection after that
     * @param timeoutAtMs when the proxy stops waiting for it
     */
    protected Attempt(ClientRequest request, int index, int server, double startedMs, double timeoutAtMs) {
        this.request = request;
        this.index = index;
        this.server = server;
        this.startedMs = startedMs;
        this.timeoutAtMs = timeoutAtMs;
    }

    /** The protocol of the servers of its pool. */
    public abstract PoolProtocol protocol();

    /** The request class to send to a sibling proxy; null if the server is not a sibling. */
    public abstract String siblingClass();

    /** The time after which a response is useless. */
    public abstract double deadlineMs();

    /** Whether two attempts of a request of this pool may be in flight at once. */
    public abstract boolean hedgingAllowed();

    /**
     * Whether the attempt, which has begun, may be cut off by a close of its connection and repeated elsewhere: it has
     * no effect, no part of its response has been used, and it has reached its server, so that the repeat is the later
     * one.
     */
    public abstract boolean mayBeCutOff(double nowMs);

    /**
     * Returns whether the attempt may begin, checked right before its first byte is written. An attempt that may not
     * begin is ended by this call.
     */
    public abstract boolean mayBegin();

    /** Called when the first byte is about to be written to the {@linkplain #connection connection}. */
    public abstract void onBegin();

    /**
     * Called once for an attempt that has begun, before its end is reported: its response has arrived, or its
     * connection has closed. Until then its server may process it, even if its response is no longer needed.
     */
    public void onSettled() {}

    /**
     * Called when a value begins that is passed to {@link #onEnd} once it is whole.
     *
     * @param length the length of the value, in bytes; the most that it can be if it is not known
     * @return false if no client waits for the value, or if there is no memory for it, so that the connection discards
     *     it
     */
    public boolean onShortValueBegin(int length) {
        return true;
    }

    /**
     * Called when a long value begins.
     *
     * @param length the length of the value, in bytes
     * @return false if no client waits for the value, so that the connection discards it
     */
    public abstract boolean onValueBegin(int length);

    /** Called with a part of a long value, which the callee releases. */
    public abstract void onValuePart(ByteBuf part);

    /**
     * Called when the attempt has ended. The callee releases the value.
     *
     * @param cacheStatus what a cache server reported of its lookup, as in {@link cacheproxy.policy.AttemptResult}; 0
     *     if nothing
     * @param loadReport the server's load report; null if there is none
     * @param value the complete value of a read; null if there is none or it has been streamed
     * @param receipt the receipt of a write; null if there is none
     */
    public abstract void onEnd(
            AttemptOutcome outcome, int cacheStatus, float[] loadReport, ByteBuf value, String receipt);

    /** Ends the attempt with an outcome and no further result from the server. */
    public final void onEnd(AttemptOutcome outcome) {
        onEnd(outcome, 0, null, null, null);
    }

    /**
     * The deadline to send to the server: whole milliseconds until the proxy stops waiting, at least 1 and never more
     * than the client has left. Computed each time that a request is written.
     */
    final int deadlineForServerMs(double nowMs) {
        double leftMs = Math.min(deadlineMs(), request.clientDueMs()) - nowMs;
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.floor(leftMs)));
    }

    /**
     * Records the connection that sends the attempt. Called again if that connection fails and another one takes the
     * attempt.
     */
    final void assignTo(UpstreamConnection to) {
        connection = to;
    }

    /** Sets {@link #hasBegun}. */
    final void markBegun() {
        begun = true;
    }

    /** Sets {@link #isWritten}. */
    final void markWritten() {
        written = true;
    }

    /** Sets {@link #hasEnded}. */
    protected final void markEnded() {
        ended = true;
    }

    /** Sets {@link #isAbandoned}. */
    final void setAbandoned(boolean notNeeded) {
        abandoned = notNeeded;
    }

    /** Whether this is a health probe, which belongs to no client's request. */
    public final boolean isProbe() {
        return request == null;
    }

    /** The client's request; null for a probe. */
    public final ClientRequest request() {
        return request;
    }

    /** The attempt's number within its request, from 0. */
    public final int index() {
        return index;
    }

    /** The id of its server. */
    public final int server() {
        return server;
    }

    /** When it was started. */
    public final double startedMs() {
        return startedMs;
    }

    /** When the proxy stops waiting for it. */
    public final double timeoutAtMs() {
        return timeoutAtMs;
    }

    /** The connection that the attempt waits for or uses; null if it was assigned to none. */
    public final UpstreamConnection connection() {
        return connection;
    }

    /** Whether its first byte has been handed to the connection. */
    public final boolean hasBegun() {
        return begun;
    }

    /** Whether its last byte has been written, so that the server may have processed it. */
    public final boolean isWritten() {
        return written;
    }

    /** Whether its outcome is known. */
    public final boolean hasEnded() {
        return ended;
    }

    /** Whether its connection knows that its response is no longer needed. */
    final boolean isAbandoned() {
        return abandoned;
    }
}
