package cacheproxy.snapshot;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The header of a snapshot file.
 *
 * @param sections number of sections, 0 to 65535
 * @param length length of the whole file in bytes
 * @param generation the snapshot's generation
 * @param writtenMs Unix time at which the snapshot was taken, in milliseconds
 */
record SnapshotHeader(int sections, int length, long generation, double writtenMs) {
    /** "CORALMEM". */
    static final long MAGIC = 0x434F52414C4D454DL;

    /** Version of the format as a whole. */
    static final int FORMAT_VERSION = 1;

    /** Size of a header in bytes, with its checksum. */
    static final int BYTES = 36;

    /** Upper bound of times and durations in milliseconds, exclusive. */
    private static final double MAX_TIME_MS = 1e15;

    private static final int VERSION_OFFSET = 8;
    private static final int SECTIONS_OFFSET = 10;
    private static final int GENERATION_OFFSET = 16;
    private static final int WRITTEN_OFFSET = 24;
    private static final int CHECKSUM_OFFSET = BYTES - Checksums.BYTES;

    /** Position of the file's length. */
    static final int LENGTH_OFFSET = 12;

    /** Returns whether a value is a valid time or duration in milliseconds. */
    static boolean isTime(double ms) {
        return ms >= 0 && ms < MAX_TIME_MS;
    }

    /** Writes the header at the start of a buffer that is backed by an array. */
    @SuppressWarnings("ByteBufferBackingArray") // the buffer is allocated here, on the heap, with no offset
    void write(ByteBuffer buffer) {
        buffer.putLong(0, MAGIC)
                .putShort(VERSION_OFFSET, (short) FORMAT_VERSION)
                .putShort(SECTIONS_OFFSET, (short) sections)
                .putInt(LENGTH_OFFSET, length)
                .putLong(GENERATION_OFFSET, generation)
                .putDouble(WRITTEN_OFFSET, writtenMs)
                .putInt(CHECKSUM_OFFSET, Checksums.crc32c(buffer.array(), 0, CHECKSUM_OFFSET));
    }

    /** Reads the header of a file for which {@link #fault} has found no fault. */
    static SnapshotHeader read(byte[] file) {
        ByteBuffer buffer = ByteBuffer.wrap(file);
        return new SnapshotHeader(
                Short.toUnsignedInt(buffer.getShort(SECTIONS_OFFSET)),
                buffer.getInt(LENGTH_OFFSET),
                buffer.getLong(GENERATION_OFFSET),
                buffer.getDouble(WRITTEN_OFFSET));
    }

    /** Returns a description of what is wrong with a file's header, for operators; empty if the header is valid. */
    static Optional<String> fault(byte[] file) {
        if (file.length < BYTES) {
            return Optional.of("byte 0: " + file.length + " bytes are too few for a memory file");
        }
        ByteBuffer buffer = ByteBuffer.wrap(file);
        if (buffer.getLong(0) != MAGIC) {
            return Optional.of("byte 0: it is not a memory file");
        }
        if (Checksums.crc32c(file, 0, CHECKSUM_OFFSET) != buffer.getInt(CHECKSUM_OFFSET)) {
            return Optional.of("byte 0: its header is damaged");
        }
        int version = buffer.getShort(VERSION_OFFSET);
        if (version != FORMAT_VERSION) {
            return Optional.of(
                    "byte 8: format " + version + " is not known to this program, which reads " + FORMAT_VERSION);
        }
        return isTime(buffer.getDouble(WRITTEN_OFFSET))
                ? Optional.empty()
                : Optional.of("byte 24: the time of writing is invalid");
    }
}
