package cacheproxy.proxy.request;

import io.netty.buffer.ByteBuf;

/**
 * Receives the one response to a request and writes it in the client's grammar. The caller calls exactly one of
 * {@link #value}, {@link #stored}, {@link #miss}, {@link #busy}, {@link #failed} and {@link #badRequest}; or
 * {@link #beginValue}, then any number of {@link #valuePart}, and {@link #endValue} or {@link #abortValue}. Calls come
 * on the event loop, perhaps before the call that submitted the request has returned.
 */
public interface Responder {
    /** Where the parts of a value come from. */
    interface ValueSource {
        /** Holds back further parts while the client does not take those that were sent, or lets them go on. */
        void setPaused(boolean paused);
    }

    /** A read was served: the whole value, whose buffer the callee releases. */
    void value(ByteBuf value);

    /** A write was served; the receipt is null if the server gives none. */
    void stored(String receipt);

    /** No server has the key, and there is no origin to ask. */
    void miss();

    /** The request was rejected, so that a retry is harmless after this time in milliseconds; under 1: no advice. */
    void busy(double retryAfterMs);

    /** The request failed; it may have been carried out. */
    void failed();

    /** The request itself is invalid, and nothing was sent to a server. */
    void badRequest(String reason);

    /** A value of this length begins, whose parts follow as they arrive. */
    void beginValue(int lengthBytes, ValueSource source);

    /** Some bytes of the value that has begun, whose buffer the callee releases. */
    void valuePart(ByteBuf part);

    /** The value that has begun is complete. */
    void endValue();

    /** The value that has begun will not be completed. */
    void abortValue();

    /** Whether the client is known to have closed its connection, though its event may not have been handled yet. */
    boolean hasClientLeft();
}
