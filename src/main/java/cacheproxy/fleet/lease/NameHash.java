package cacheproxy.fleet.lease;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Eight bytes that stand for a name in messages and in lots: the first of its SHA-256. Never 0, which is nobody. */
public final class NameHash {
    public static final long NOBODY = 0;

    private NameHash() {}

    public static long of(String name) {
        long id = hash(name);
        return id == NOBODY ? 1 : id;
    }

    /** A lot that all processes draw alike for a name and a purpose. */
    static long lot(String purpose, String duty, String peer) {
        return hash(purpose + "\0" + duty + "\0" + peer);
    }

    private static long hash(String text) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)))
                    .getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java has it
        }
    }
}
