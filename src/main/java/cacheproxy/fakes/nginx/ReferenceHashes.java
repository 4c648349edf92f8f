package cacheproxy.fakes.nginx;

/** The hash functions of nginx, implemented from their definitions. */
final class ReferenceHashes {
    private static final long UNSIGNED_MASK = 0xFFFFFFFFL;
    private static final long MURMUR_MULTIPLIER = 0x5bd1e995L;
    private static final long CRC_POLYNOMIAL = 0xEDB88320L;

    private ReferenceHashes() {}

    /** Returns the MurmurHash2 with seed 0 as an unsigned 32-bit number. */
    static long murmur2(byte[] data) {
        long hash = data.length;
        int offset = 0;
        int remaining = data.length;
        while (remaining >= 4) {
            long block = 0;
            for (int i = 3; i >= 0; i--) {
                block = block << 8 | (data[offset + i] & 0xFF);
            }
            block = multiply(block);
            block ^= block >> 24;
            hash = multiply(hash) ^ multiply(block);
            offset += 4;
            remaining -= 4;
        }
        for (int i = remaining - 1; i >= 0; i--) {
            hash ^= (long) (data[offset + i] & 0xFF) << (8 * i);
        }
        if (remaining > 0) {
            hash = multiply(hash);
        }
        hash ^= hash >> 13;
        hash = multiply(hash);
        return hash ^ hash >> 15;
    }

    private static long multiply(long value) {
        return value * MURMUR_MULTIPLIER & UNSIGNED_MASK;
    }

    /** Returns the CRC-32 of ISO 3309, computed bit by bit. */
    static long crc32(byte[] data) {
        long crc = UNSIGNED_MASK;
        for (byte next : data) {
            crc ^= next & 0xFF;
            for (int bit = 0; bit < 8; bit++) {
                crc = (crc & 1) != 0 ? crc >> 1 ^ CRC_POLYNOMIAL : crc >> 1;
            }
        }
        return crc ^ UNSIGNED_MASK;
    }
}
