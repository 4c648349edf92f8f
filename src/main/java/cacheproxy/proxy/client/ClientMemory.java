package cacheproxy.proxy.client;

import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import cacheproxy.proxy.memory.RecentMaximum;
import cacheproxy.proxy.request.MetaCodec;

/**
 * The memory that the responses of one client connection take in the account of its event loop. A response that its
 * client is sent next may use a part of the account that others can't take; the others of the connection, which wait
 * behind it, share the rest with those of all connections.
 */
final class ClientMemory {
    /** The most that responses which wait behind others may hold on one connection, in bytes. */
    static final int MAX_QUEUED_BYTES = 2 << 20;
    /** The least that a response is expected to take, in bytes. */
    private static final int MIN_EXPECTED_BYTES = 1 << 10;

    private final MemoryAccount account;
    /** The lengths of the values that all connections have received, up to the longest that is buffered whole. */
    private final RecentMaximum recentValueBytes;
    /** The longest value of this connection so far, up to the longest that is buffered whole. */
    private int longestValueBytes;

    private int queuedBytes;
    private final Runnable onReleased;

    /** @param onReleased runs when responses of this connection have given back memory */
    ClientMemory(MemoryAccount account, RecentMaximum recentValueBytes, Runnable onReleased) {
        this.account = account;
        this.recentValueBytes = recentValueBytes;
        this.onReleased = onReleased;
    }

    /** The account that the memory belongs to. */
    MemoryAccount account() {
        return account;
    }

    /** Records the length of a value, for the expectation of those that follow. */
    void valueAnnounced(int lengthBytes) {
        int bytes = Math.min(lengthBytes, MetaCodec.MAX_BUFFERED_VALUE_BYTES);
        recentValueBytes.record(bytes);
        longestValueBytes = Math.max(longestValueBytes, bytes);
    }

    /** The most that the next value is expected to take, in bytes. */
    int expectedValueBytes() {
        return Math.max(MIN_EXPECTED_BYTES, Math.max(longestValueBytes, recentValueBytes.get()));
    }

    /** Reserves memory for a response that waits behind others; returns false if there is not enough. */
    boolean reserveQueued(int bytes) {
        if (queuedBytes + bytes > MAX_QUEUED_BYTES || !account.reserve(MemoryPurpose.QUEUED_RESPONSE, bytes)) {
            return false;
        }
        queuedBytes += bytes;
        return true;
    }

    /** Counts memory that a response holds in any case. */
    void charge(MemoryPurpose purpose, int bytes) {
        if (purpose == MemoryPurpose.QUEUED_RESPONSE) {
            queuedBytes += bytes;
        }
        account.charge(purpose, bytes);
    }

    /** Gives back memory of a response. */
    void release(MemoryPurpose purpose, int bytes) {
        if (purpose == MemoryPurpose.QUEUED_RESPONSE) {
            queuedBytes -= bytes;
        }
        account.release(purpose, bytes);
        onReleased.run();
    }

    /** Returns whether the connection has to release memory of its own before a further response can be queued. */
    boolean isQueueFull() {
        return queuedBytes + expectedValueBytes() > MAX_QUEUED_BYTES;
    }
}
