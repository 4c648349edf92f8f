package cacheproxy.proxy.upstream;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;

/**
 * Limits how many bytes of long values are buffered whole at once. Values beyond the limit wait in order of arrival;
 * each connection has at most one that waits. Used on its event loop only.
 */
public final class BufferBudget {
    private final EventLoop loop;
    private final long maxBytes;
    private long reservedBytes;
    private final ArrayDeque<Request> waiting = new ArrayDeque<>();

    /** A value that waits for its bytes. */
    private record Request(int bytes, Runnable onAcquired) {}

    /** @param maxBytes the limit, in bytes; no value may be longer */
    BufferBudget(EventLoop loop, long maxBytes) {
        this.loop = loop;
        this.maxBytes = maxBytes;
    }

    /**
     * Calls {@code onAcquired} once this many bytes may be buffered, possibly from within this call. The caller must
     * then {@link #release} them.
     *
     * @throws IllegalArgumentException if the bytes exceed the whole budget, so that they could never be acquired
     */
    public void acquire(int bytes, Runnable onAcquired) {
        if (bytes > maxBytes) {
            throw new IllegalArgumentException(bytes + " bytes exceed the budget of " + maxBytes);
        }
        if (waiting.isEmpty() && reservedBytes + bytes <= maxBytes) {
            reservedBytes += bytes;
            onAcquired.run();
        } else {
            waiting.add(new Request(bytes, onAcquired));
        }
    }

    /** Withdraws a request for bytes that has not been granted yet; has no effect on any other. */
    public void withdraw(Runnable onAcquired) {
        if (waiting.removeIf(request -> request.onAcquired == onAcquired)) {
            grantWaiting();
        }
    }

    /** Releases acquired bytes, all at once or a part of them, as they are no longer buffered. */
    public void release(int bytes) {
        reservedBytes -= bytes;
        grantWaiting();
    }

    private void grantWaiting() {
        for (Request next; (next = waiting.peek()) != null && reservedBytes + next.bytes <= maxBytes; ) {
            waiting.remove();
            reservedBytes += next.bytes;
            loop.execute(next.onAcquired); // not from within the event that released the bytes
        }
    }

    /** The bytes that are acquired and not released. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
