package cacheproxy.proxy.upstream;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A connection's claim to buffer one long body under the {@link BufferedBodyLimit}. Until it is granted, reading is
 * suspended, so that the rest of the body waits with the kernel; the request's deadline goes on.
 */
final class BodyBufferClaim {
    private final BufferedBodyLimit limit;
    private final Consumer<Boolean> setReadable;
    private final BooleanSupplier complete;
    private boolean requested;
    private boolean granted;
    private boolean readingSuspended;

    /**
     * Creates a claim that is not requested.
     *
     * @param setReadable suspends or resumes the reading of the connection
     * @param complete whether the body came completely with the read that made the claim; reading is then not resumed
     *     on the grant, as the next response is not due yet
     */
    BodyBufferClaim(BufferedBodyLimit limit, Consumer<Boolean> setReadable, BooleanSupplier complete) {
        this.limit = limit;
        this.setReadable = setReadable;
        this.complete = complete;
    }

    /** Requests it; no effect if it is requested already. */
    void request() {
        if (requested) {
            return;
        }
        requested = true;
        readingSuspended = true;
        setReadable.accept(false);
        limit.acquire(this::onAcquired);
    }

    private void onAcquired() {
        if (!requested || granted) { // asked for a body that has ended meanwhile
            limit.release();
            return;
        }
        granted = true;
        if (!complete.getAsBoolean()) {
            resumeReading();
        }
    }

    /** Gives it up, whether or not it was granted, and resumes reading. */
    void release() {
        requested = false;
        resumeReading(); // a body that was complete before the grant must not leave its connection unread
        if (granted) {
            granted = false;
            limit.release();
        }
    }

    private void resumeReading() {
        if (readingSuspended) {
            readingSuspended = false;
            setReadable.accept(true);
        }
    }
}
