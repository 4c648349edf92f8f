package cacheproxy.proxy.upstream;

import cacheproxy.proxy.request.MetaCodec;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A connection's claim to buffer one long body under the {@link BufferBudget}; as its length is not known, the claim is
 * for the longest one. Reading is suspended until the claim is granted, so that the rest of the body stays in the
 * kernel's buffers. The request's deadline keeps running.
 */
final class BodyBufferClaim {
    private final BufferBudget limit;
    private final Consumer<Boolean> setReadable;
    private final BooleanSupplier complete;
    private boolean requested;
    private boolean granted;
    private boolean readingSuspended;

    /**
     * Creates a claim that has not been requested.
     *
     * @param setReadable suspends or resumes the reading of the connection
     * @param complete whether the body was complete with the read that requested the claim; reading is then not resumed
     *     when the claim is granted, as the next response is not due yet
     */
    BodyBufferClaim(BufferBudget limit, Consumer<Boolean> setReadable, BooleanSupplier complete) {
        this.limit = limit;
        this.setReadable = setReadable;
        this.complete = complete;
    }

    /** Requests the claim; has no effect if it has already been requested. */
    void request() {
        if (requested) {
            return;
        }
        requested = true;
        readingSuspended = true;
        setReadable.accept(false);
        limit.acquire(MetaCodec.MAX_VALUE_BYTES, this::onAcquired);
    }

    private void onAcquired() {
        if (!requested || granted) { // requested for a body that has ended in the meantime
            limit.release(MetaCodec.MAX_VALUE_BYTES);
            return;
        }
        granted = true;
        if (!complete.getAsBoolean()) {
            resumeReading();
        }
    }

    /** Releases the claim, whether or not it was granted, and resumes reading. */
    void release() {
        requested = false;
        resumeReading(); // a body that was complete before the grant must not leave reading suspended
        if (granted) {
            granted = false;
            limit.release(MetaCodec.MAX_VALUE_BYTES);
        }
    }

    private void resumeReading() {
        if (readingSuspended) {
            readingSuspended = false;
            setReadable.accept(true);
        }
    }
}
