package cacheproxy.placement;

import java.util.zip.CRC32;

/**
 * A 64-bit key from which nginx's placements derive all checksums that they need: the text's CRC-32 in the low 32 bits,
 * the text's length in the next 12, and 20 bits of another hash (FNV-1a), so that texts with the same CRC-32 and length
 * rarely have the same key. Checksum and length are enough to compute the checksum of the text with any prefix.
 */
public final class PlacementKey {
    /** Maximum length of a text, in bytes. */
    public static final int MAX_LENGTH = 4095;

    private static final int LENGTH_SHIFT = 32;
    private static final int HASH_SHIFT = 44;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** The polynomial of CRC-32, reflected. */
    private static final int CRC32_POLYNOMIAL = 0xEDB88320;

    private static final int HIGHEST_BIT = 1 << 31;

    /** Index of x^8 = x^(2^3) in {@link #POWERS_OF_X}, by which one byte shifts the checksum. */
    private static final int BYTE_POWER = 3;

    /** x^(2^i) modulo {@link #CRC32_POLYNOMIAL}, reflected. */
    private static final int[] POWERS_OF_X = new int[Integer.SIZE];

    static {
        POWERS_OF_X[0] = 1 << 30;
        for (int i = 1; i < POWERS_OF_X.length; i++) {
            POWERS_OF_X[i] = multiply(POWERS_OF_X[i - 1], POWERS_OF_X[i - 1]);
        }
    }

    private PlacementKey() {}

    /**
     * Returns the key of a text; never 0.
     *
     * @throws IllegalArgumentException if the text is longer than {@link #MAX_LENGTH}
     */
    public static long fromText(byte[] text) {
        if (text.length > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "placement key: text has " + text.length + " bytes, expected at most " + MAX_LENGTH);
        }
        CRC32 crc = new CRC32();
        crc.update(text, 0, text.length);
        long hash = FNV_OFFSET_BASIS;
        for (byte next : text) {
            hash = (hash ^ (next & 0xFF)) * FNV_PRIME;
        }
        long key = (hash >>> HASH_SHIFT) << HASH_SHIFT | (long) text.length << LENGTH_SHIFT | crc.getValue();
        return key != 0 ? key : 1L << HASH_SHIFT;
    }

    /** Returns the CRC-32 of the key's text. */
    public static int crc(long key) {
        return (int) key;
    }

    /**
     * Returns the CRC-32 of a prefix followed by the key's text, as zlib's {@code crc32_combine} does.
     *
     * @param prefixCrc the CRC-32 of the prefix
     */
    public static int crcWithPrefix(int prefixCrc, long key) {
        int shift = HIGHEST_BIT;
        int power = BYTE_POWER;
        for (int length = (int) (key >>> LENGTH_SHIFT) & MAX_LENGTH; length != 0; length >>>= 1) {
            if ((length & 1) != 0) {
                shift = multiply(POWERS_OF_X[power & (Integer.SIZE - 1)], shift);
            }
            power++;
        }
        return multiply(shift, prefixCrc) ^ crc(key);
    }

    /** Returns the product of two reflected polynomials modulo {@link #CRC32_POLYNOMIAL}. */
    private static int multiply(int left, int right) {
        int product = 0;
        int shifted = right;
        for (int bit = HIGHEST_BIT; bit != 0; bit >>>= 1) {
            if ((left & bit) != 0) {
                product ^= shifted;
            }
            shifted = (shifted & 1) != 0 ? (shifted >>> 1) ^ CRC32_POLYNOMIAL : shifted >>> 1;
        }
        return product;
    }
}
