package cacheproxy.htcp;

/**
 * Encodes and decodes datagrams of HTCP/0.0 (RFC 2756). Numbers are in network byte order. Stateless.
 *
 * <pre>
 * HEADER  0  length of the message (16)    2  major version   3  minor version
 * DATA    4  length of DATA (16)           6  opcode (4), response code (4)   7  reserved (6), F1, RR
 *         8  transaction id (32)          12  OP-DATA
 * AUTH       length of AUTH (16), alone if the message is not signed;
 *            else time (32), expiry (32), key name, signature
 * </pre>
 */
public final class HtcpCodec {
    /**
     * Maximum length of a datagram, in octets: the limit of UDP, as HTCP has no limit below that of its 16-bit length.
     */
    public static final int MAX_LENGTH = 65_507;

    static final int HEADER_LENGTH = 4;
    static final int DATA_HEADER_LENGTH = 8;
    /** Length of AUTH in a message that is not signed, where it has its length field alone. */
    static final int NO_AUTH_LENGTH = 2;
    /** Length of AUTH with an empty key name and an empty signature. */
    static final int MIN_AUTH_LENGTH = 14;

    private HtcpCodec() {}

    /**
     * Decodes one datagram.
     *
     * @throws MalformedMessageException if the datagram is not an HTCP message and is to be dropped
     */
    public static HtcpDatagram decode(byte[] octets, int offset, int length) throws MalformedMessageException {
        return HtcpDecoder.decode(octets, offset, length);
    }

    /**
     * Encodes DATA, which a signature covers.
     *
     * @throws IllegalArgumentException if a text has more than 65,535 octets, or DATA is too long
     */
    public static byte[] encodeData(HtcpMessage message) {
        return HtcpEncoder.encodeData(message);
    }

    /**
     * Encodes a datagram with this DATA.
     *
     * @param auth null: not signed
     * @throws IllegalArgumentException if the datagram is longer than {@link #MAX_LENGTH}
     */
    public static byte[] encodeDatagram(byte[] data, HtcpAuth auth) {
        return HtcpEncoder.encodeDatagram(data, auth);
    }
}
