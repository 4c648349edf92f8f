package cacheproxy.htcp;

/**
 * A message of HTCP/0.0 (RFC 2756), without its authentication.
 *
 * @param response a request's is 0
 * @param flag the F1 bit: in a request "response desired" (RD), in a response "the code is of the message as a whole"
 *     (MO)
 * @param reply the RR bit: whether it is a response
 * @param transaction names a request, the same in its response
 */
public record HtcpMessage(
        int minor, Opcode opcode, int response, boolean flag, boolean reply, int transaction, Body body) {
    /** The operations, by their numbers. */
    public enum Opcode {
        NOP,
        TST,
        MON,
        SET,
        CLR
    }

    /** Response codes with MO = 1, about the message as a whole. */
    public static final int AUTH_REQUIRED = 0;

    public static final int AUTH_FAILED = 1;
    public static final int NOT_IMPLEMENTED = 2;
    public static final int MAJOR_NOT_SUPPORTED = 3;
    public static final int MINOR_NOT_SUPPORTED = 4;
    public static final int INAPPROPRIATE = 5;

    /** Response codes of TST: present, absent. */
    public static final int TST_PRESENT = 0;

    public static final int TST_ABSENT = 1;
    /** Of MON: accepted, refused as too many are active. */
    public static final int MON_ACCEPTED = 0;

    public static final int MON_REFUSED = 1;
    /** Of SET: accepted, ignored. */
    public static final int SET_ACCEPTED = 0;

    public static final int SET_IGNORED = 1;
    /** Of CLR: it was there and is gone, it was there and stays, it was not there. */
    public static final int CLR_GONE = 0;

    public static final int CLR_KEPT = 1;
    public static final int CLR_ABSENT = 2;

    /** OP-DATA. */
    public sealed interface Body {}

    /** None, as in NOP, in responses to SET and CLR, and with MO = 1. */
    public record Empty() implements Body {}

    /** What is asked for; texts are ISO 8859-1, headers end with CR LF each. */
    public record Specifier(String method, String uri, String version, String headers) implements Body {}

    /** What is known of an entity: headers of the response, the entity and the cache. */
    public record Detail(String responseHeaders, String entityHeaders, String cacheHeaders) implements Body {}

    /** The headers about the cache alone, in the response to a TST that missed. */
    public record CacheHeaders(String headers) implements Body {}

    /** A specifier with its detail, as in SET. */
    public record Identity(Specifier specifier, Detail detail) implements Body {}

    /** A wish to be told of changes for so many seconds, 0 to 255. */
    public record Monitor(int seconds) implements Body {}

    /** A change that a monitor is told of: seconds left, what happened (0 to 3) and why (0 to 5). */
    public record Change(int seconds, int action, int reason, Identity identity) implements Body {}

    /** What is to be forgotten and why: 0 for no stated reason, 1 as the origin said that it does not exist. */
    public record Clear(int reason, Specifier specifier) implements Body {}

    /** A request that wants a response. */
    public static HtcpMessage request(Opcode opcode, int transaction, Body body) {
        return new HtcpMessage(0, opcode, 0, true, false, transaction, body);
    }

    /** A response to this request, with a code of its operation. */
    public HtcpMessage respond(int code, Body with) {
        return new HtcpMessage(0, opcode, code, false, true, transaction, with);
    }

    /** A response that is about the message as a whole (MO = 1). */
    public HtcpMessage refuse(int code) {
        return new HtcpMessage(0, opcode, code, true, true, transaction, new Empty());
    }
}
