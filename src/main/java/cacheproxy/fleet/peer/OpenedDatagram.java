package cacheproxy.fleet.peer;

/**
 * An authenticated datagram without its envelope.
 *
 * @param sender the sender's id
 * @param topic the protocol that the payload belongs to
 * @param payload the protocol's message
 */
// The payload has one reader, which parses it at once; a copy would cost and protect nothing.
@SuppressWarnings("ArrayRecordComponent")
public record OpenedDatagram(long sender, byte topic, byte[] payload) {}
