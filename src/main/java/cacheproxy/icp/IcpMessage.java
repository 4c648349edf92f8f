package cacheproxy.icp;

/**
 * A message of ICP version 2 (RFC 2186).
 *
 * @param requestNumber names the question, 32 bits, the same in its answer
 * @param options bits of {@link #HIT_OBJ} and {@link #SRC_RTT}; others are 0
 * @param optionData with {@link #SRC_RTT} in an answer its low 16 bits are the milliseconds to the origin
 * @param sender what the message says of its sender's IPv4 address; it proves nothing ("Sender Host Address")
 * @param requester of a query: its client's IPv4 address, 0 if not told; else 0
 * @param url what it is about; US-ASCII without NUL, may be empty in an error
 * @param object of {@link Opcode#HIT_OBJ}: the object; else null
 */
@SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
public record IcpMessage(
        Opcode opcode,
        int requestNumber,
        int options,
        int optionData,
        int sender,
        int requester,
        String url,
        byte[] object) {
    /** No message is larger, in octets ("Message Length"). */
    public static final int MAX_LENGTH = 16_384;
    /** In a query: the object itself may be sent in the answer. */
    public static final int HIT_OBJ = 0x80000000;
    /** In a query: tell the time to the origin. In an answer: it is told. */
    public static final int SRC_RTT = 0x40000000;

    /** The opcodes. */
    public enum Opcode {
        QUERY(1),
        HIT(2),
        MISS(3),
        ERR(4),
        SECHO(10),
        DECHO(11),
        MISS_NOFETCH(21),
        DENIED(22),
        HIT_OBJ(23);

        final int code;

        Opcode(int code) {
            this.code = code;
        }

        /** Null where there is none of this code; 0 is {@code ICP_OP_INVALID}, which is never sent. */
        static Opcode of(int code) {
            for (Opcode o : values()) {
                if (o.code == code) {
                    return o;
                }
            }
            return null;
        }

        /** Whether it ends a question. */
        public boolean answers() {
            return this == HIT
                    || this == MISS
                    || this == ERR
                    || this == MISS_NOFETCH
                    || this == DENIED
                    || this == HIT_OBJ;
        }
    }

    /** A question. */
    public static IcpMessage query(int requestNumber, int options, String url) {
        return new IcpMessage(Opcode.QUERY, requestNumber, options, 0, 0, 0, url, null);
    }

    /** An answer without an object to this query. */
    public IcpMessage answer(Opcode with) {
        return new IcpMessage(with, requestNumber, 0, 0, 0, 0, url, null);
    }

    /** The milliseconds to the origin that an answer tells of, 0 to 65,535; -1: none. */
    public int sourceRttMs() {
        return opcode != Opcode.QUERY && (options & SRC_RTT) != 0 ? optionData & 0xFFFF : -1;
    }
}
