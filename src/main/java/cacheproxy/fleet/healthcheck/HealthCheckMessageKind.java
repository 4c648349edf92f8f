package cacheproxy.fleet.healthcheck;

/** The kinds of {@link HealthCheckMessage}. */
public enum HealthCheckMessageKind {
    /** Asks for a check of a server. */
    REQUEST(0),
    /** The result of a check. */
    RESULT(1),
    /** The receiver of the request does not hold the lease of the server's share. */
    REDIRECT(2);

    private static final HealthCheckMessageKind[] BY_WIRE_CODE = {REQUEST, RESULT, REDIRECT};

    private final byte wireCode;

    HealthCheckMessageKind(int wireCode) {
        this.wireCode = (byte) wireCode;
    }

    /** Returns the first byte of a message of this kind. */
    byte wireCode() {
        return wireCode;
    }

    /** Returns the kind of a message with this first byte; null if there is none. */
    static HealthCheckMessageKind fromWireCode(byte wireCode) {
        return wireCode >= 0 && wireCode < BY_WIRE_CODE.length ? BY_WIRE_CODE[wireCode] : null;
    }
}
