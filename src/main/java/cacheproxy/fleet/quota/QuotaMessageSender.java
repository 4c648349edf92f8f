package cacheproxy.fleet.quota;

/** Sends the messages of a {@link QuotaManager}. */
public interface QuotaMessageSender {
    /**
     * Sends a message to a peer. Messages may be lost, delayed or duplicated.
     *
     * @param to the peer's id
     */
    void send(long to, QuotaMessage message);
}
