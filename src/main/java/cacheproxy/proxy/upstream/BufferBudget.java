package cacheproxy.proxy.upstream;

import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import java.util.ArrayDeque;

/**
 * Limits how many bytes of long values are buffered whole at once, by the {@link MemoryAccount}. Values beyond the
 * limit wait in order of arrival; each connection has at most one that waits. Used on its event loop only.
 */
public final class BufferBudget {
    private final MemoryAccount account;
    private final MemoryPurpose purpose;
    private final ArrayDeque<Request> waiting = new ArrayDeque<>();
    /** Whether the account calls {@link #grantWaiting} when memory may be available. */
    private boolean awaiting;

    /** A value that waits for its bytes. */
    private record Request(int bytes, Runnable onAcquired) {}

    /** @param purpose what the values are buffered for; its most memory must be enough for the longest of them */
    BufferBudget(MemoryAccount account, MemoryPurpose purpose) {
        this.account = account;
        this.purpose = purpose;
    }

    /**
     * Calls {@code onAcquired} once this many bytes may be buffered, possibly from within this call. The caller must
     * then {@link #release} them.
     *
     * @throws IllegalArgumentException if the bytes exceed the whole budget, so that they could never be acquired
     */
    public void acquire(int bytes, Runnable onAcquired) {
        if (bytes > account.maxBytes(purpose)) {
            throw new IllegalArgumentException(
                    bytes + " bytes exceed the budget of " + account.maxBytes(purpose) + " for " + purpose);
        }
        if (waiting.isEmpty() && account.reserve(purpose, bytes)) {
            onAcquired.run();
            return;
        }
        waiting.add(new Request(bytes, onAcquired));
        if (!awaiting) {
            awaiting = true;
            account.await(purpose, this::grantWaiting);
        }
    }

    /** Withdraws a request for bytes that has not been granted yet; has no effect on any other. */
    public void withdraw(Runnable onAcquired) {
        if (waiting.removeIf(request -> request.onAcquired == onAcquired)) {
            account.scheduleWake();
        }
    }

    /** Releases acquired bytes, all at once or a part of them, as they are no longer buffered. */
    public void release(int bytes) {
        account.release(purpose, bytes);
    }

    /** Returns whether no request waits any more. */
    private boolean grantWaiting() {
        for (Request next; (next = waiting.peek()) != null && account.reserve(purpose, next.bytes); ) {
            waiting.remove();
            next.onAcquired.run();
        }
        awaiting = !waiting.isEmpty();
        return !awaiting;
    }

    /** The bytes that are acquired and not released. */
    public long reservedBytes() {
        return account.usedBytes(purpose);
    }
}
