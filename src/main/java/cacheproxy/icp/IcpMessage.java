package cacheproxy.icp;

/**
 * A message of ICP version 2 (RFC 2186).
 *
 * @param requestNumber identifies a query; its replies have the same number
 * @param options bits {@link #FLAG_HIT_OBJ} and {@link #FLAG_SRC_RTT}; all others are 0
 * @param optionData with {@link #FLAG_SRC_RTT} in a reply, its low 16 bits are the round-trip time to the origin in ms
 * @param senderAddress the sender's IPv4 address according to the message, which is not proof of the sender
 * @param requesterAddress in a query, the IPv4 address of its client, 0 if unknown; in other messages 0
 * @param url the URL that the message is about; US-ASCII without NUL, may be empty in an error
 * @param object the object in a message with {@link Opcode#HIT_OBJ}; null in others
 */
@SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
public record IcpMessage(
        Opcode opcode,
        int requestNumber,
        int options,
        int optionData,
        int senderAddress,
        int requesterAddress,
        String url,
        byte[] object) {
    /** Maximum length of a message, in octets. */
    public static final int MAX_LENGTH = 16_384;
    /** In a query: the reply may contain the object itself. */
    public static final int FLAG_HIT_OBJ = 0x80000000;
    /** In a query: asks for the round-trip time to the origin. In a reply: the message gives the time. */
    public static final int FLAG_SRC_RTT = 0x40000000;

    /** The opcodes of RFC 2186, with their codes; 0 is {@code ICP_OP_INVALID}, which is never sent. */
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

        private static final Opcode[] BY_CODE = byCode();

        private final int code;

        Opcode(int code) {
            this.code = code;
        }

        private static Opcode[] byCode() {
            Opcode[] opcodes = new Opcode[HIT_OBJ.code + 1];
            for (Opcode opcode : values()) {
                opcodes[opcode.code] = opcode;
            }
            return opcodes;
        }

        /** Returns the code in a message. */
        int code() {
            return code;
        }

        /** Returns the opcode with this code; null if there is none. */
        static Opcode of(int code) {
            return code >= 0 && code < BY_CODE.length ? BY_CODE[code] : null;
        }

        /** Returns whether a message with this opcode replies to a query. */
        public boolean isReply() {
            return switch (this) {
                case HIT, MISS, ERR, MISS_NOFETCH, DENIED, HIT_OBJ -> true;
                case QUERY, SECHO, DECHO -> false;
            };
        }
    }

    /** Creates a query. */
    public static IcpMessage query(int requestNumber, int options, String url) {
        return new IcpMessage(Opcode.QUERY, requestNumber, options, 0, 0, 0, url, null);
    }

    /** Creates a reply to this query, without an object. */
    public IcpMessage reply(Opcode replyOpcode) {
        return new IcpMessage(replyOpcode, requestNumber, 0, 0, 0, 0, url, null);
    }

    /** Returns the round-trip time to the origin that a reply gives, 0 to 65,535 ms; -1 if it gives none. */
    public int sourceRttMs() {
        return opcode != Opcode.QUERY && (options & FLAG_SRC_RTT) != 0 ? optionData & 0xFFFF : -1;
    }
}
