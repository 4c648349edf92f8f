package cacheproxy.fleet.peer;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The trailer that protects a datagram: with keys the first 16 bytes of its HMAC-SHA256, without keys its CRC-32C.
 * Immutable.
 */
final class DatagramAuthenticator {
    /** The number of bytes to which the HMAC is truncated. */
    static final int MAC_BYTES = 16;
    /** The length of a CRC-32C in bytes. */
    static final int CHECKSUM_BYTES = 4;

    private static final String MAC_ALGORITHM = "HmacSHA256";

    private final List<byte[]> keys;

    /** @param keys the first key signs, and each of them is accepted; if empty, datagrams have only a checksum */
    DatagramAuthenticator(List<byte[]> keys) {
        this.keys = keys.stream().map(byte[]::clone).toList();
    }

    /** Returns the trailer's length in bytes. */
    int trailerBytes() {
        return keys.isEmpty() ? CHECKSUM_BYTES : MAC_BYTES;
    }

    /** Returns the trailer for the first {@code length} bytes. */
    byte[] trailer(byte[] bytes, int length) {
        return keys.isEmpty() ? checksum(bytes, length) : mac(keys.get(0), bytes, length);
    }

    /** Returns whether the bytes from {@code length} on are a valid trailer for the preceding ones. */
    boolean verifies(byte[] datagram, int length) {
        byte[] trailer = Arrays.copyOfRange(datagram, length, length + trailerBytes());
        if (keys.isEmpty()) {
            return Arrays.equals(checksum(datagram, length), trailer);
        }
        return keys.stream().anyMatch(key -> MessageDigest.isEqual(trailer, mac(key, datagram, length)));
    }

    private static byte[] checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return ByteBuffer.allocate(CHECKSUM_BYTES).putInt((int) crc.getValue()).array();
    }

    private static byte[] mac(byte[] key, byte[] bytes, int length) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
            mac.update(bytes, 0, length);
            return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(MAC_ALGORITHM + " is missing, though every Java platform has it", e);
        }
    }
}
