package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.request.ClientRequest;
import io.netty.buffer.ByteBuf;

/**
 * One exchange with one server, as its connection sees it: an attempt of a client's request, or a health probe. Whoever
 * starts it extends this type to be told of its progress. A connection reports one end; {@link #onEnd} ignores any
 * later one. Used on the event loop only; times are milliseconds of the event loop's clock.
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

    /**
     * Creates an attempt that is on no connection yet.
     *
     * @param request what the server is asked for; null for a probe
     * @param index number of the attempt among those of its request, from 0
     * @param server id of the server
     * @param startedMs when it was started; it may wait for a connection from then on
     * @param timeoutAtMs when the proxy stops waiting for it
     */
    protected Attempt(ClientRequest request, int index, int server, double startedMs, double timeoutAtMs) {
        this.request = request;
        this.index = index;
        this.server = server;
        this.startedMs = startedMs;
        this.timeoutAtMs = timeoutAtMs;
    }

    /** How the servers of its pool speak. */
    public abstract PoolProtocol protocol();

    /** The request class to name to a sibling proxy; null if the server is none. */
    public abstract String siblingClass();

    /** The last moment at which the response is of use. */
    public abstract double deadlineMs();

    /** Whether two attempts of a request of this pool may be in flight at once. */
    public abstract boolean hedgingAllowed();

    /** Checks it right before its first byte; one that may not begin is ended by this call. */
    public abstract boolean mayBegin();

    /** Its first byte is about to be written to its {@linkplain #connection connection}. */
    public abstract void onBegin();

    /**
     * A long value begins.
     *
     * @param length of the value, in bytes
     * @return false if nobody waits for it, so that the connection drops it
     */
    public abstract boolean onValueBegin(int length);

    /** Some bytes of a long value; the callee releases them. */
    public abstract void onValuePart(ByteBuf part);

    /**
     * It has ended. The callee releases the value.
     *
     * @param cacheStatus what the server said of a miss, as in {@link cacheproxy.policy.AttemptResult}; 0 if nothing
     * @param loadReport the server's load figures, null if none
     * @param value a read's whole value; null if there is none, or it has been passed on in parts
     * @param receipt a write's receipt; null if there is none
     */
    public abstract void onEnd(
            AttemptOutcome outcome, int cacheStatus, float[] loadReport, ByteBuf value, String receipt);

    /** It has ended without a response that says more than the outcome. */
    public final void onEnd(AttemptOutcome outcome) {
        onEnd(outcome, 0, null, null, null);
    }

    /**
     * The deadline to name to the server: whole milliseconds until the proxy stops waiting, at least 1 and never more
     * than the client has left. Computed anew each time that a request is written.
     */
    final int deadlineForServerMs(double nowMs) {
        double leftMs = Math.min(deadlineMs(), request.clientDueMs()) - nowMs;
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.floor(leftMs)));
    }

    /** Records the connection that sends it, or another one after that has failed. */
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

    /** Whether it belongs to no request of a client. */
    public final boolean isProbe() {
        return request == null;
    }

    /** The client's request; null for a probe. */
    public final ClientRequest request() {
        return request;
    }

    /** Its number among the attempts of its request, from 0. */
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

    /** The connection that it waits for or is on; null if it was given to none. */
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
}
