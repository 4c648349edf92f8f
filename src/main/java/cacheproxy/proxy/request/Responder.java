package cacheproxy.proxy.request;

import io.netty.buffer.ByteBuf;

/**
 * Where the one answer to a request goes. A front writes it in its own grammar. Exactly one of {@link #value},
 * {@link #stored}, {@link #miss}, {@link #busy}, {@link #failed} and {@link #badRequest} is called, or
 * {@link #beginValue} and then parts up to {@link #endValue} or {@link #abortValue}. All calls come on the event loop,
 * perhaps before the call that handed the request in has returned.
 */
public interface Responder {
    /** Lets a long answer go on, or holds it back while the client takes nothing. */
    interface ValueSource {
        void setPaused(boolean on);
    }

    /** Served: a read's whole value, whose buffer the callee releases. */
    void value(ByteBuf value);

    /** Served: a write's receipt, null where its server gives none. */
    void stored(String receipt);

    /** No server has the key and there is no origin to ask. */
    void miss();

    /** Turned away: a retry is harmless, after so many milliseconds; 0: no advice. */
    void busy(double retryAfterMs);

    /** Failed, nothing is promised. */
    void failed();

    /** The request itself is at fault; nothing was sent. */
    void badRequest(String reason);

    /** A value of so many bytes begins; {@code source} holds back what is to come. */
    void beginValue(int lengthBytes, ValueSource source);

    /** Some bytes of the value that has begun; the callee releases them. */
    void valuePart(ByteBuf part);

    /** The value that has begun is whole. */
    void endValue();

    /** The value that has begun will not become whole. */
    void abortValue();
}
