package cacheproxy.fleet.healthcheck;

import java.nio.ByteBuffer;

/**
 * What proxies tell one another of trials: {@value #LENGTH} bytes, all of one form.
 *
 * @param duty of the share that the server is in
 * @param server its id
 * @param number of the question that this asks or answers
 * @param epoch in ANSWER: under which the trial was made
 * @param holder in ELSEWHERE: who is to be asked instead, 0 if that is not known
 * @param sound in ANSWER: whether the server answered
 * @param ageMs in ANSWER: how long ago
 */
public record HealthCheckMessage(
        Kind kind,
        long leaseId,
        int server,
        long requestNumber,
        long epoch,
        long leaseHolder,
        boolean healthy,
        int ageMs) {
    public static final int MESSAGE_BYTES = 42;

    /** What it is. */
    public enum Kind {
        /** Is this server sound? */
        REQUEST,
        /** What a trial has shown. */
        RESULT,
        /** The trial is not this proxy's to make. */
        REDIRECT
    }

    public byte[] bytes() {
        return ByteBuffer.allocate(MESSAGE_BYTES)
                .put((byte) kind.ordinal())
                .putLong(leaseId)
                .putInt(server)
                .putLong(requestNumber)
                .putLong(epoch)
                .putLong(leaseHolder)
                .put((byte) (healthy ? 1 : 0))
                .putInt(ageMs)
                .array();
    }

    /** Null if these bytes are none. */
    public static HealthCheckMessage of(byte[] bytes) {
        if (bytes.length != MESSAGE_BYTES || bytes[0] < 0 || bytes[0] >= Kind.values().length) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        HealthCheckMessage m = new HealthCheckMessage(
                Kind.values()[b.get()],
                b.getLong(),
                b.getInt(),
                b.getLong(),
                b.getLong(),
                b.getLong(),
                b.get() == 1,
                b.getInt());
        return m.epoch < 0 || m.ageMs < 0 ? null : m;
    }
}
