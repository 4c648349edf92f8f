package cacheproxy.fleet.membership;

/** Sends messages to other members. */
@FunctionalInterface
public interface SwimMessageSender {
    /** Sends a message, which may be lost. */
    void send(long to, SwimMessage message);
}
