package cacheproxy.snapshot;

import java.util.zip.CRC32C;

/** The checksums of a snapshot file. */
final class Checksums {
    /** Size of a checksum in bytes. */
    static final int BYTES = 4;

    private Checksums() {}

    /** Returns the CRC-32C (RFC 3720, appendix B.4) of a range of bytes. */
    static int crc32c(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
