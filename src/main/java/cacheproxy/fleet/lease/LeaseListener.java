package cacheproxy.fleet.lease;

/** Sends the messages of a {@link LeaseManager}, and is notified when it gains or loses a lease. */
public interface LeaseListener {
    /**
     * Sends a message to a peer. Safety does not depend on delivery: messages may be lost, delayed or duplicated.
     *
     * @param to the peer's id, see {@link NameHash#of}
     */
    void send(long to, LeaseMessage message);

    /** Called when this process has become the holder of a lease. */
    void gained(String lease, long epoch);

    /**
     * Called when this process is no longer the holder of a lease.
     *
     * @param epoch the epoch of the grant that has ended
     * @param reason the reason in words, for the log
     */
    void lost(String lease, long epoch, String reason);
}
