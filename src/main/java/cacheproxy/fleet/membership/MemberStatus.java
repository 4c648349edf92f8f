package cacheproxy.fleet.membership;

/** The state of a member; within one incarnation a later state overrides an earlier one. */
public enum MemberStatus {
    /** It answers, or no member has noticed a missing answer yet. */
    ALIVE(0, "alive"),
    /** It did not answer, and still has time to refute the suspicion that it failed. */
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

    /** Returns the value in the JSON of the control address. */
    public String jsonName() {
        return jsonName;
    }

    /** Returns the byte that stands for it in messages. */
    byte wireCode() {
        return wireCode;
    }

    /** Returns the status for a byte of a message; null if there is none. */
    static MemberStatus fromWireCode(byte wireCode) {
        return wireCode >= 0 && wireCode < BY_WIRE_CODE.length ? BY_WIRE_CODE[wireCode] : null;
    }
}
