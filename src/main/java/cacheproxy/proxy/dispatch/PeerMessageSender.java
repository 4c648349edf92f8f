package cacheproxy.proxy.dispatch;

/** Sends the policy's messages to other proxies. */
@FunctionalInterface
public interface PeerMessageSender {
    /** Sends nothing, for a pool whose proxy exchanges no messages. */
    PeerMessageSender NONE = (peer, message) -> {};

    /** Sends a message to another proxy, or to all proxies if {@code peer} is negative. */
    void send(int peer, byte[] message);
}
