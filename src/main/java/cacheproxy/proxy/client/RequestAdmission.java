package cacheproxy.proxy.client;

import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import cacheproxy.proxy.net.ReadPause;
import cacheproxy.proxy.upstream.EventLoopContext;

/**
 * Decides what one client connection may take on: which commands are decoded, and which requests are submitted. Both
 * depend on how fast the client reads its responses, and on the memory that the responses and commands of all
 * connections take. Commands that may not be decoded stay unread in the end, so that TCP holds the client back.
 */
final class RequestAdmission {
    /**
     * Maximum number of open requests of one connection; bounds the memory used for a client that sends requests but
     * reads no responses.
     */
    private static final int MAX_PIPELINED = 32;

    private final ClientConnection connection;
    private final ResponseQueue responses;
    private final ReadControl readControl;
    private final ConnectionCloser closer;
    private final MemoryAccount account;
    private final ClientMemory memory;
    private final CommandMemory commandMemory;
    /** The bytes that have been read and not decoded, as far as the account has been told. */
    private int accountedInputBytes;

    /** @param onMemoryReleased runs when responses of this connection have given back memory */
    RequestAdmission(
            ClientConnection connection,
            ResponseQueue responses,
            ReadControl readControl,
            ConnectionCloser closer,
            Runnable onMemoryReleased) {
        this.connection = connection;
        this.responses = responses;
        this.readControl = readControl;
        this.closer = closer;
        EventLoopContext loopContext = connection.loopContext();
        account = loopContext.memory();
        memory = new ClientMemory(account, loopContext.recentValueBytes(), onMemoryReleased);
        commandMemory = new CommandMemory(account, connection::updateFlowControl);
    }

    /** The memory that the responses of the connection take. */
    ClientMemory memory() {
        return memory;
    }

    /** The memory that the commands of the connection take. */
    CommandMemory commandMemory() {
        return commandMemory;
    }

    // ---- commands

    /** Returns whether a command may be decoded now; otherwise pauses reading until {@link #resumeReading}. */
    boolean admitCommand() {
        if (mayReadCommands()) {
            return true;
        }
        readControl.pause(connection.context(), pauseReason());
        connection.turns().refused();
        return false;
    }

    /** Decodes what was read before a pause, and resumes reading, if commands may be decoded again. */
    void resumeReading() {
        if (readControl.isPaused() && !connection.end().isInputDecoded() && mayReadCommands()) {
            connection.turns().resume();
        }
    }

    /** Returns whether commands may be decoded now; if only memory lacks, reading resumes when there is some. */
    boolean mayReadCommands() {
        if (!mayTakeCommand()) {
            return false;
        }
        if (hasCommandMemory()) {
            return true;
        }
        commandMemory.awaitMemory();
        return false;
    }

    private boolean mayTakeCommand() {
        return !closer.isFinished() && !hasTooManyRequests() && !hasUnreadResponses();
    }

    private boolean hasTooManyRequests() {
        return responses.size() >= MAX_PIPELINED || responses.isValueAtRisk();
    }

    private boolean hasUnreadResponses() {
        return !isClientReading() || connection.immediateResponses().isFull();
    }

    private ReadPause pauseReason() {
        if (hasTooManyRequests()) {
            return ReadPause.OPEN_REQUESTS;
        }
        return hasUnreadResponses() ? ReadPause.UNREAD_RESPONSES : ReadPause.NO_MEMORY;
    }

    private boolean isClientReading() {
        return connection.context().channel().isWritable();
    }

    private boolean hasCommandMemory() {
        return responses.isEmpty() || commandMemory.isAvailable();
    }

    /** Tells the account how many bytes have been read and not decoded. */
    void accountInput(int bytes) {
        int change = bytes - accountedInputBytes;
        accountedInputBytes = bytes;
        if (change > 0) {
            account.charge(MemoryPurpose.INPUT, change);
        } else {
            account.release(MemoryPurpose.INPUT, -change);
        }
    }

    // ---- requests

    /**
     * Returns whether the request of this response may be submitted: the response is the first one, or there is memory
     * for it while it waits behind others, to a client that reads.
     */
    boolean mayForward(PendingResponse response) {
        return responses.isFirst(response) || (isClientReading() && response.claimExpectedMemory());
    }

    /** Returns whether nothing but the memory of all connections limits the responses that wait behind the first. */
    boolean mayQueueResponses() {
        return isClientReading() && !memory.isQueueFull();
    }

    /** Returns whether this response is sent next, to a client that has read everything before it. */
    boolean isDue(PendingResponse response) {
        return responses.isFirst(response) && !connection.status().hasUnwrittenBytes();
    }

    /** Gives back what the connection holds besides its responses, as it has closed. */
    void close() {
        commandMemory.close();
        accountInput(0);
    }
}
