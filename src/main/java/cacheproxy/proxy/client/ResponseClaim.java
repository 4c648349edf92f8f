package cacheproxy.proxy.client;

import cacheproxy.proxy.memory.MemoryPurpose;

/**
 * The memory of one response of a client connection: first what it is expected to take, then what it holds, until its
 * last byte has been sent. It counts as queued if it was claimed while other responses were before it.
 */
final class ResponseClaim {
    private final ClientMemory memory;
    private MemoryPurpose purpose = MemoryPurpose.RESPONSE;
    private int bytes;

    /** Creates a claim of no bytes. */
    ResponseClaim(ClientMemory memory) {
        this.memory = memory;
    }

    /** Claims what a response behind others is expected to take; returns false if there is not enough memory. */
    boolean expectQueued() {
        int expectedBytes = memory.expectedValueBytes();
        if (!memory.reserveQueued(expectedBytes)) {
            return false;
        }
        purpose = MemoryPurpose.QUEUED_RESPONSE;
        bytes = expectedBytes;
        return true;
    }

    /**
     * Claims memory for a value of this length, which is going to arrive; returns false if there is not enough.
     *
     * @param due whether the response is sent next, to a client that has read everything before it
     */
    boolean reserve(int lengthBytes, boolean due) {
        int missingBytes = lengthBytes - bytes;
        if (missingBytes <= 0) {
            hold(lengthBytes);
            return true;
        }
        if (bytes == 0) {
            purpose = due ? MemoryPurpose.RESPONSE : MemoryPurpose.QUEUED_RESPONSE;
        }
        boolean reserved = purpose == MemoryPurpose.RESPONSE
                ? memory.account().reserve(purpose, missingBytes)
                : memory.reserveQueued(missingBytes);
        if (reserved) {
            bytes = lengthBytes;
        }
        return reserved;
    }

    /** Sets the bytes that the response holds now, more or fewer than were claimed. */
    void hold(int heldBytes) {
        int change = heldBytes - bytes;
        bytes = heldBytes;
        if (change > 0) {
            memory.charge(purpose, change);
        } else if (change < 0) {
            memory.release(purpose, -change);
        }
    }

    /** Gives back all that is claimed. */
    void release() {
        hold(0);
    }
}
