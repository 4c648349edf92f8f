package cacheproxy.htcp;

/**
 * A message of HTCP/0.0 (RFC 2756), without its signature.
 *
 * @param responseCode the code of a response; 0 in a request
 * @param flag the F1 bit. In a request RD: a response is desired. In a response MO: the code is about the message as a
 *     whole, not about the operation
 * @param isResponse the RR bit
 * @param transactionId identifies a request; its response has the same id
 */
public record HtcpMessage(
        int minorVersion,
        Opcode opcode,
        int responseCode,
        boolean flag,
        boolean isResponse,
        int transactionId,
        Body body) {

    /** Response codes with MO = 1, about the message as a whole: a signature is required. */
    public static final int AUTH_REQUIRED = 0;
    /** With MO = 1: the signature is not valid. */
    public static final int AUTH_FAILED = 1;
    /** With MO = 1: the opcode is not implemented. */
    public static final int NOT_IMPLEMENTED = 2;
    /** With MO = 1: the major version is not supported. */
    public static final int MAJOR_NOT_SUPPORTED = 3;
    /** With MO = 1: the minor version is not supported. */
    public static final int MINOR_NOT_SUPPORTED = 4;
    /** With MO = 1: the opcode is not allowed here. */
    public static final int INAPPROPRIATE = 5;

    /** Response code of TST: the entity is cached. */
    public static final int TST_PRESENT = 0;
    /** Response code of TST: the entity is not cached. */
    public static final int TST_ABSENT = 1;
    /** Response code of MON: the monitor is active. */
    public static final int MON_ACCEPTED = 0;
    /** Response code of MON: too many monitors are active. */
    public static final int MON_REFUSED = 1;
    /** Response code of SET: the identity was accepted. */
    public static final int SET_ACCEPTED = 0;
    /** Response code of SET: the identity was ignored. */
    public static final int SET_IGNORED = 1;
    /** Response code of CLR: the entity was cached and is removed. */
    public static final int CLR_REMOVED = 0;
    /** Response code of CLR: the entity is cached and was kept. */
    public static final int CLR_KEPT = 1;
    /** Response code of CLR: the entity was not cached. */
    public static final int CLR_ABSENT = 2;

    /** The operations, with their codes. */
    public enum Opcode {
        NOP(0),
        TST(1),
        MON(2),
        SET(3),
        CLR(4);

        private static final Opcode[] BY_CODE = {NOP, TST, MON, SET, CLR};

        private final int code;

        Opcode(int code) {
            this.code = code;
        }

        /** Returns the code in a message, 4 bits. */
        int code() {
            return code;
        }

        /** Returns the opcode with this code; null if there is none. */
        static Opcode of(int code) {
            return code < BY_CODE.length ? BY_CODE[code] : null;
        }
    }

    /** The operation's data (OP-DATA). Texts are ISO 8859-1; each header ends with CR LF. */
    public sealed interface Body {}

    /** No data, as in NOP, in responses to SET and CLR, and with MO = 1. */
    public record Empty() implements Body {}

    /** Which entity a request is about (SPECIFIER). */
    public record Specifier(String method, String uri, String version, String headers) implements Body {}

    /** What is known about an entity (DETAIL): headers of the response, the entity and the cache. */
    public record Detail(String responseHeaders, String entityHeaders, String cacheHeaders) implements Body {}

    /** The headers about the cache alone, in the response to a TST of an absent entity. */
    public record CacheHeaders(String headers) implements Body {}

    /** A specifier with its detail (IDENTITY), as in SET. */
    public record Identity(Specifier specifier, Detail detail) implements Body {}

    /**
     * A request for notifications of changes.
     *
     * @param durationSeconds 0 to 255
     */
    public record Monitor(int durationSeconds) implements Body {}

    /**
     * A change of which a monitor is notified.
     *
     * @param remainingSeconds how long the monitor stays active, 0 to 255
     * @param action what happened to the entity, 0 to 3
     * @param reason why it happened, 0 to 5
     */
    public record Change(int remainingSeconds, int action, int reason, Identity identity) implements Body {}

    /**
     * A request to remove an entity.
     *
     * @param reason 0: no reason is given; 1: the origin reports that the entity does not exist
     */
    public record Clear(int reason, Specifier specifier) implements Body {}

    /** Creates a request for which a response is desired. */
    public static HtcpMessage request(Opcode opcode, int transactionId, Body body) {
        return new HtcpMessage(0, opcode, 0, true, false, transactionId, body);
    }

    /** Creates a response to this request, with a response code of its operation. */
    public HtcpMessage respond(int code, Body responseBody) {
        return new HtcpMessage(0, opcode, code, false, true, transactionId, responseBody);
    }

    /** Creates a response that rejects this message as a whole (MO = 1). */
    public HtcpMessage rejectMessage(int code) {
        return new HtcpMessage(0, opcode, code, true, true, transactionId, new Empty());
    }
}
