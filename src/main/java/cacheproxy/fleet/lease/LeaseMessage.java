package cacheproxy.fleet.lease;

import java.nio.ByteBuffer;

/**
 * What proxies tell one another of leases: {@value #LENGTH} bytes, all of one form.
 *
 * @param duty the duty's id
 * @param nonce of the question that this asks or answers
 * @param epoch claimed, granted, given back; in answers the highest that the voter knows of
 * @param holder in STATE and REFUSE: the peer that holds it by that voter's word, {@link NameHash#NOBODY} if nobody or
 *     the asking process itself does; in ASK, CLAIM and RELEASE a number that the asking process drew at its start
 * @param ms in CLAIM the lease; in STATE and REFUSE what is left of it
 */
public record LeaseMessage(Kind kind, long duty, long nonce, long epoch, long holder, int ms) {
    public static final int LENGTH = 37;
    /**
     * No epoch is above this: it would be no whole number to who reads it as JSON, and by the wall clock none is in
     * 250,000 years.
     */
    public static final long MOST_EPOCH = 1L << 53;

    /** What it is. */
    public enum Kind {
        /** Would you grant it? Changes nothing at the voter. */
        ASK,
        /** The answer. */
        STATE,
        /** Grant it, or go on granting it. */
        CLAIM,
        GRANT,
        REFUSE,
        /** The holder, or a claim without a majority, gives a grant back. */
        RELEASE,
        /** The holder has given it back and would have the receiver take it. */
        HAND
    }

    public byte[] bytes() {
        return ByteBuffer.allocate(LENGTH)
                .put((byte) kind.ordinal())
                .putLong(duty)
                .putLong(nonce)
                .putLong(epoch)
                .putLong(holder)
                .putInt(ms)
                .array();
    }

    /** Null if these bytes are none. */
    public static LeaseMessage of(byte[] bytes) {
        if (bytes.length != LENGTH || bytes[0] < 0 || bytes[0] >= Kind.values().length) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        LeaseMessage m = new LeaseMessage(
                Kind.values()[b.get()], b.getLong(), b.getLong(), b.getLong(), b.getLong(), b.getInt());
        return m.epoch < 0 || m.epoch > MOST_EPOCH || m.ms < 0 ? null : m;
    }
}
