package cacheproxy.fleet.membership;

/** The state of a member; within one incarnation a later state overrides an earlier one. */
public enum MemberStatus {
    /** It answers, or nobody has missed its answers yet. */
    ALIVE(0, "alive"),
    /** It did not answer, and has time to refute that it failed. */
    SUSPECT(1, "suspect"),
    /** It did not refute the suspicion in time. */
    DEAD(2, "dead");

    private static final MemberStatus[] BY_WIRE_CODE = {ALIVE, SUSPECT, DEAD};

    private final byte wireCode;
    private final String jsonName;

    MemberStatus(int wireCode, String jsonName) {
        this.wireCode = (byte) wireCode;
        this.jsonName = jsonName;
    }

    /** The value in the JSON of the control address. */
    public String jsonName() {
        return jsonName;
    }

    /** The byte that stands for it in messages. */
    byte wireCode() {
        return wireCode;
    }

    /** The status for a byte of a message; null if there is none. */
    static MemberStatus fromWireCode(byte wireCode) {
        return wireCode >= 0 && wireCode < BY_WIRE_CODE.length ? BY_WIRE_CODE[wireCode] : null;
    }
}
