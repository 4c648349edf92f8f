package cacheproxy.fleet.lease;

import java.nio.ByteBuffer;

/**
 * A datagram between the processes of a fleet about one lease. All kinds have the same {@value #LENGTH_BYTES} bytes in
 * network byte order: one for the kind, then the fields in the order of the components.
 *
 * @param leaseId the lease's id, see {@link NameHash#of}
 * @param nonce the nonce of the request that this message is or replies to; 0 if no reply is expected
 * @param epoch the epoch that is claimed, granted or released; in STATUS and REJECT the highest that the voter knows; 0
 *     to {@link #MAX_EPOCH}
 * @param holder in STATUS and REJECT: the peer that the voter has granted the lease to, {@link NameHash#NO_ID} if there
 *     is none or it is the requesting process itself; in QUERY, CLAIM and RELEASE the sending process's incarnation; in
 *     TRANSFER the former holder
 * @param durationMs in CLAIM and GRANT the duration of the lease; in STATUS and REJECT the time left of the other
 *     holder's grant
 */
public record LeaseMessage(Kind kind, long leaseId, long nonce, long epoch, long holder, int durationMs) {
    /** The length of each message. */
    public static final int LENGTH_BYTES = 37;
    /** The highest epoch: JSON readers represent integers exactly only up to this value. */
    public static final long MAX_EPOCH = 1L << 53;

    /** The kinds of message, in the order of their codes on the wire. */
    public enum Kind {
        /** A candidate asks whether a claim would be granted; changes nothing at the voter. */
        QUERY(0),
        /** A voter's reply to a query. */
        STATUS(1),
        /** A candidate asks for a grant, or the holder for its renewal. */
        CLAIM(2),
        /** A voter grants a claim. */
        GRANT(3),
        /** A voter rejects a claim. */
        REJECT(4),
        /** The holder, or a candidate whose claim found no majority, releases its grants. */
        RELEASE(5),
        /** The former holder asks the receiver to claim the lease. */
        TRANSFER(6);

        private static final Kind[] BY_CODE = values();
        private final byte code;

        Kind(int code) {
            this.code = (byte) code;
        }
    }

    /** Returns the bytes of the datagram. */
    public byte[] encode() {
        return ByteBuffer.allocate(LENGTH_BYTES)
                .put(kind.code)
                .putLong(leaseId)
                .putLong(nonce)
                .putLong(epoch)
                .putLong(holder)
                .putInt(durationMs)
                .array();
    }

    /** Decodes a datagram; null if its length, kind, epoch or duration is invalid. */
    public static LeaseMessage decode(byte[] bytes) {
        if (bytes.length != LENGTH_BYTES || bytes[0] < 0 || bytes[0] >= Kind.BY_CODE.length) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        Kind kind = Kind.BY_CODE[buffer.get()];
        long leaseId = buffer.getLong();
        long nonce = buffer.getLong();
        long epoch = buffer.getLong();
        long holder = buffer.getLong();
        int durationMs = buffer.getInt();
        boolean isValid = epoch >= 0 && epoch <= MAX_EPOCH && durationMs >= 0;
        return isValid ? new LeaseMessage(kind, leaseId, nonce, epoch, holder, durationMs) : null;
    }
}
