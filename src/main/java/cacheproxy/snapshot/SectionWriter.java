package cacheproxy.snapshot;

import java.nio.BufferOverflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes the sections of a snapshot file into a buffer that grows up to {@link SnapshotCodec#MAX_BYTES}. */
final class SectionWriter {
    /** Maximum length of a text in bytes. */
    static final int MAX_TEXT_BYTES = 1024;

    /** Size of a section's kind, version and length. */
    static final int SECTION_HEADER_BYTES = 8;

    private static final int INITIAL_BYTES = 4096;
    private static final int LENGTH_OFFSET = 4;

    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES).position(SnapshotHeader.BYTES);
    private int sections;

    /**
     * Writes one section.
     *
     * @param body writes the section's content by this writer's {@code put} methods; called again if the buffer had to
     *     grow
     * @throws IllegalArgumentException if the file would be larger than {@link SnapshotCodec#MAX_BYTES}
     */
    void writeSection(SectionKind kind, Runnable body) {
        int from = buffer.position();
        while (!tryWrite(from, kind, body)) {
            grow(from);
        }
        sections++;
    }

    private boolean tryWrite(int from, SectionKind kind, Runnable body) {
        try {
            buffer.putShort((short) kind.code).putShort((short) kind.version).putInt(0);
            body.run();
            int end = buffer.position();
            buffer.putInt(from + LENGTH_OFFSET, end - from - SECTION_HEADER_BYTES);
            buffer.putInt(Checksums.crc32c(buffer.array(), from, end - from));
            return true;
        } catch (BufferOverflowException e) {
            return false;
        }
    }

    private void grow(int used) {
        if (buffer.capacity() >= SnapshotCodec.MAX_BYTES) {
            throw new IllegalArgumentException("more than " + SnapshotCodec.MAX_BYTES + " bytes");
        }
        int capacity = Math.min(SnapshotCodec.MAX_BYTES, buffer.capacity() * 2);
        buffer = ByteBuffer.allocate(capacity).put(buffer.array(), 0, used);
    }

    /**
     * Writes a text in UTF-8 with its length.
     *
     * @throws IllegalArgumentException if it is longer than {@link #MAX_TEXT_BYTES}
     */
    SectionWriter putText(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException("a name has more than " + MAX_TEXT_BYTES + " bytes");
        }
        buffer.putShort((short) bytes.length).put(bytes);
        return this;
    }

    /** Writes one byte. */
    SectionWriter putByte(int value) {
        buffer.put((byte) value);
        return this;
    }

    /** Writes a count in 16 bits; greater counts are written as the maximum of a 16-bit number. */
    SectionWriter putCount(int count) {
        buffer.putShort((short) Math.min(count, Short.MAX_VALUE));
        return this;
    }

    /** Writes 32 bits. */
    SectionWriter putInt(int value) {
        buffer.putInt(value);
        return this;
    }

    /** Writes 64 bits. */
    SectionWriter putLong(long value) {
        buffer.putLong(value);
        return this;
    }

    /** Writes a floating-point number in 64 bits. */
    SectionWriter putDouble(double value) {
        buffer.putDouble(value);
        return this;
    }

    /** Returns the whole file: the header and all sections written so far. */
    byte[] toFile(long generation, double writtenMs) {
        int length = buffer.position();
        new SnapshotHeader(sections, length, generation, writtenMs).write(buffer);
        byte[] file = new byte[length];
        buffer.get(0, file);
        return file;
    }
}
