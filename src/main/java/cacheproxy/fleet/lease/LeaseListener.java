package cacheproxy.fleet.lease;

/** Receives the messages that a {@link LeaseManager} wants sent and the changes of the leases that it holds. */
public interface LeaseListener {
    /**
     * Sends a message to a peer. Delivery is not needed for safety: messages may be lost, delayed or duplicated.
     *
     * @param to the peer's id, see {@link NameHash#of}
     */
    void send(long to, LeaseMessage message);

    /** This process has become the holder of a lease. */
    void gained(String lease, long epoch);

    /**
     * This process is no longer the holder of a lease.
     *
     * @param epoch of the grant that has ended
     * @param reason in words, for the log
     */
    void lost(String lease, long epoch, String reason);
}
