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
        Kind kind, long duty, int server, long number, long epoch, long holder, boolean sound, int ageMs) {
    public static final int LENGTH = 42;

    /** What it is. */
    public enum Kind {
        /** Is this server sound? */
        WANT,
        /** What a trial has shown. */
        ANSWER,
        /** The trial is not this proxy's to make. */
        ELSEWHERE
    }

    public byte[] bytes() {
        return ByteBuffer.allocate(LENGTH)
                .put((byte) kind.ordinal())
                .putLong(duty)
                .putInt(server)
                .putLong(number)
                .putLong(epoch)
                .putLong(holder)
                .put((byte) (sound ? 1 : 0))
                .putInt(ageMs)
                .array();
    }

    /** Null if these bytes are none. */
    public static HealthCheckMessage of(byte[] bytes) {
        if (bytes.length != LENGTH || bytes[0] < 0 || bytes[0] >= Kind.values().length) {
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
