package cacheproxy.fleet.quota;

/** Receives the messages that a {@link QuotaManager} wants sent. */
public interface QuotaMessageSender {
    /**
     * Sends a message to a peer. Messages may be lost, delayed or duplicated.
     *
     * @param to the peer's id
     */
    void send(long to, QuotaMessage message);
}
