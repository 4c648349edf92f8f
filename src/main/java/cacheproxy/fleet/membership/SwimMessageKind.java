package cacheproxy.fleet.membership;

/** The kinds of {@link SwimMessage}. */
public enum SwimMessageKind {
    /** Asks the target whether it is alive. */
    PING(0),
    /** The target is alive: sent by itself, or by the member that pinged it on request. */
    ACK(1),
    /** Asks the receiver to ping the target. */
    PING_REQUEST(2),
    /** The target was pinged on request and has not answered so far. */
    NACK(3);

    private static final SwimMessageKind[] BY_WIRE_CODE = {PING, ACK, PING_REQUEST, NACK};

    private final byte wireCode;

    SwimMessageKind(int wireCode) {
        this.wireCode = (byte) wireCode;
    }

    /** Returns the first byte of a message of this kind. */
    byte wireCode() {
        return wireCode;
    }

    /** Returns the kind of a message with this first byte; null if there is none. */
    static SwimMessageKind fromWireCode(byte wireCode) {
        return wireCode >= 0 && wireCode < BY_WIRE_CODE.length ? BY_WIRE_CODE[wireCode] : null;
    }
}
