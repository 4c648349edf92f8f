package cacheproxy.proxy.client;

import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;

/**
 * The heap that the commands of one client connection take while they wait for their responses. The first command of a
 * connection is always taken; further ones stay unread while the commands of all connections have taken what there is.
 */
final class CommandMemory {
    /** What a request takes besides its line: its context, its attempts and their timers. */
    private static final int REQUEST_BYTES = 2 << 10;
    /** A line is kept as a whole and in parts: key, id, attributes, and what is sent to servers. */
    private static final int COPIES_OF_LINE = 4;

    private static final int MAX_COMMAND_BYTES = REQUEST_BYTES + COPIES_OF_LINE * MetaCodec.MAX_LINE_BYTES;

    private final MemoryAccount account;
    private final Runnable resumeReading;
    private final MemoryAccount.Waiter onMemoryAvailable = this::onMemoryAvailable;
    private boolean waiting;

    /** @param resumeReading runs when a further command may be read, after {@link #awaitMemory} */
    CommandMemory(MemoryAccount account, Runnable resumeReading) {
        this.account = account;
        this.resumeReading = resumeReading;
    }

    /** Returns whether there is memory for a command of any length. */
    boolean isAvailable() {
        return account.isAvailable(MemoryPurpose.COMMAND, MAX_COMMAND_BYTES);
    }

    /** Counts a command; returns the bytes to {@linkplain #release release}. The request is null if it needs none. */
    int charge(ClientRequest request) {
        int bytes = REQUEST_BYTES + (request == null ? 0 : COPIES_OF_LINE * request.lineLength());
        account.charge(MemoryPurpose.COMMAND, bytes);
        return bytes;
    }

    /** Gives back the bytes of a command that has its response, or whose client has left. */
    void release(int bytes) {
        account.release(MemoryPurpose.COMMAND, bytes);
    }

    /** Has the connection's reading resumed once there is memory again. */
    void awaitMemory() {
        if (!waiting) {
            waiting = true;
            account.await(MemoryPurpose.COMMAND, onMemoryAvailable);
        }
    }

    private boolean onMemoryAvailable() {
        if (!isAvailable()) {
            return false;
        }
        waiting = false;
        resumeReading.run();
        return true;
    }

    /** Stops waiting, as the connection has closed. */
    void close() {
        if (waiting) {
            waiting = false;
            account.cancelWait(MemoryPurpose.COMMAND, onMemoryAvailable);
        }
    }
}
