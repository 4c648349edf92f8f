package cacheproxy.fleet.lease;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Ids of names in messages, and hashes for choices that all processes must make identically: the first 8 bytes of a
 * SHA-256 digest.
 */
public final class NameHash {
    /** Stands for a missing id; no name has this id. */
    public static final long NO_ID = 0;

    private NameHash() {}

    /** Returns the id of a peer's or a lease's name; never {@link #NO_ID}. */
    public static long of(String name) {
        long id = hash(name);
        return id == NO_ID ? 1 : id;
    }

    /**
     * Returns a pseudo-random number for a peer, the same at all processes and independent for each purpose and lease.
     */
    static long seededHash(String purpose, String lease, String peer) {
        return hash(purpose + "\0" + lease + "\0" + peer);
    }

    private static long hash(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
