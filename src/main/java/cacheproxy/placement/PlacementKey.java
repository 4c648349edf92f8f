package cacheproxy.placement;

import java.util.zip.CRC32;

/**
 * A 64-bit key that tells a placement of nginx's kind all that it hashes: the text's CRC-32 in the low 32 bits, its
 * length in the next 12, and 20 bits of another hash, so that keys with the same CRC-32 rarely pass for the same key.
 * From checksum and length follows the checksum of the text with anything before it.
 */
public final class PlacementKey {
    /** Texts are this long at most. */
    public static final int MAX_LENGTH = 4095;

    private static final int CRC32_POLYNOMIAL = 0xEDB88320;
    /** x^(2^n) modulo the CRC's polynomial, reflected. */
    private static final int[] POWERS_OF_X = new int[32];

    static {
        POWERS_OF_X[0] = 1 << 30;
        for (int n = 1; n < 32; n++) {
            POWERS_OF_X[n] = multiply(POWERS_OF_X[n - 1], POWERS_OF_X[n - 1]);
        }
    }

    private PlacementKey() {}

    /** Of a text with at most {@link #MAX_LENGTH} bytes; never 0. */
    public static long fromText(byte[] text) {
        if (text.length > MAX_LENGTH) {
            throw new IllegalArgumentException(text.length + " bytes");
        }
        CRC32 crc = new CRC32();
        crc.update(text, 0, text.length);
        long other = 0xcbf29ce484222325L;
        for (byte b : text) {
            other = (other ^ b & 255) * 0x100000001b3L;
        }
        long key = (other >>> 44) << 44 | (long) text.length << 32 | crc.getValue();
        return key != 0 ? key : 1L << 44;
    }

    /** CRC-32 of the text. */
    public static int crc(long key) {
        return (int) key;
    }

    /** CRC-32 of a text that stands before this key's and has this CRC-32 itself (zlib's crc32_combine). */
    public static int crcWithPrefix(int before, long key) {
        int shift = 1 << 31;
        int bits = 3; // a byte is x^8
        for (int length = (int) (key >>> 32) & MAX_LENGTH; length != 0; length >>>= 1, bits++) {
            if ((length & 1) != 0) {
                shift = multiply(POWERS_OF_X[bits & 31], shift);
            }
        }
        return multiply(shift, before) ^ crc(key);
    }

    /** Product of two polynomials modulo the CRC's, reflected. */
    private static int multiply(int a, int b) {
        int product = 0;
        int x = b;
        for (int bit = 1 << 31; bit != 0; bit >>>= 1) {
            if ((a & bit) != 0) {
                product ^= x;
            }
            x = (x & 1) != 0 ? x >>> 1 ^ CRC32_POLYNOMIAL : x >>> 1;
        }
        return product;
    }
}
