package cacheproxy.proxy.request;

import io.netty.buffer.ByteBuf;

/**
 * Receives the one response to a request and writes it in the client's grammar. The caller calls exactly one of
 * {@link #value}, {@link #stored}, {@link #miss}, {@link #busy}, {@link #failed} and {@link #badRequest}; or
 * {@link #beginValue}, then any number of {@link #valuePart}, and {@link #endValue} or {@link #abortValue}. The methods
 * are called on the event loop, possibly before the call that submitted the request has returned.
 */
public interface Responder {
    /** The source of the parts of a value. */
    interface ValueSource {
        /** Pauses further parts while the client does not read those that were sent, or resumes them. */
        void setPaused(boolean paused);

        /** Returns whether the proxy has received all of the value, so that it can't break off any more. */
        boolean isWhole();
    }

    /**
     * Announces a value of this length, for {@link #value} once it has arrived, and claims the memory for it. Returns
     * false if there is not enough; the caller then discards the value, and responds in another way.
     */
    boolean announceValue(int lengthBytes);

    /** Responds to a read with the whole value, whose buffer the callee releases. */
    void value(ByteBuf value);

    /** Confirms a write; the receipt is null if the server gives none. */
    void stored(String receipt);

    /** Reports that no server has the key and that there is no origin to send the request to. */
    void miss();

    /**
     * Reports that the request was rejected, so that a retry is harmless after this time in milliseconds; a time under
     * 1 gives no advice.
     */
    void busy(double retryAfterMs);

    /** Reports that the request failed; it may have been carried out. */
    void failed();

    /** Reports that the request itself is invalid and that nothing was sent to a server. */
    void badRequest(String reason);

    /** Begins a value of this length, whose parts follow as they arrive. */
    void beginValue(int lengthBytes, ValueSource source);

    /** Continues the value that has begun with a part, whose buffer the callee releases. */
    void valuePart(ByteBuf part);

    /** Completes the value that has begun. */
    void endValue();

    /** Aborts the value that has begun, which will not be completed. */
    void abortValue();

    /**
     * Returns whether the client is known to have closed its connection, even if that event has not been handled yet.
     */
    boolean hasClientLeft();
}
