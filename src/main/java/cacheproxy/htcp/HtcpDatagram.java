package cacheproxy.htcp;

/**
 * The content of a datagram.
 *
 * @param majorVersion 0; of messages with another version, only the opcode and the transaction are decoded
 * @param opcode the opcode's code
 * @param transactionId identifies a request; its response has the same id
 * @param message null if the major version or the opcode is unknown
 * @param auth null: not signed
 * @param data the octets of DATA, which a signature covers
 */
@SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
public record HtcpDatagram(
        int majorVersion,
        int minorVersion,
        int opcode,
        int transactionId,
        boolean isResponse,
        HtcpMessage message,
        HtcpAuth auth,
        byte[] data) {}
