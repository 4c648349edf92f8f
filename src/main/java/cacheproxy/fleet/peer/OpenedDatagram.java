package cacheproxy.fleet.peer;

/**
 * An authenticated datagram without its envelope.
 *
 * @param sender the sender's id
 * @param topic the protocol that the payload belongs to
 * @param payload the protocol's message
 */
// The payload has a single reader, which parses it immediately, so a defensive copy would protect nothing.
@SuppressWarnings("ArrayRecordComponent")
public record OpenedDatagram(long sender, byte topic, byte[] payload) {}
