package cacheproxy.snapshot;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads the content of one section. Lengths and counts are checked against the bytes that remain, and values against
 * their ranges. All methods throw {@link java.nio.BufferUnderflowException} if the section ends early.
 */
final class SectionReader {
    /** Maximum start time. It allows times in the far future, which stand for a server that is yet to be used. */
    private static final double MAX_START_MS = 1e300;

    private final ByteBuffer content;

    SectionReader(ByteBuffer content) {
        this.content = content;
    }

    /** Throws an exception with the message {@code fault} unless a condition on the section's content holds. */
    static void check(boolean valid, String fault) throws InvalidSectionException {
        if (!valid) {
            throw new InvalidSectionException(fault);
        }
    }

    /** Checks that all of the section has been read. */
    void checkEnd() throws InvalidSectionException {
        check(!content.hasRemaining(), content.remaining() + " unexpected bytes at the end");
    }

    /** Reads 8 bits. */
    byte readByte() {
        return content.get();
    }

    /** Reads 16 bits. */
    short readShort() {
        return content.getShort();
    }

    /** Reads 32 bits. */
    int readInt() {
        return content.getInt();
    }

    /** Reads 64 bits. */
    long readLong() {
        return content.getLong();
    }

    /** Reads a floating-point number of any value. */
    double readDouble() {
        return content.getDouble();
    }

    /**
     * Reads the number of entries that follow.
     *
     * @param minEntryBytes minimum size of an entry in bytes
     * @param maxCount maximum valid count
     */
    int readCount(int minEntryBytes, int maxCount) throws InvalidSectionException {
        int count = content.getInt();
        boolean valid = count >= 0 && count <= maxCount && (long) count * minEntryBytes <= content.remaining();
        check(valid, count + " entries");
        return count;
    }

    /** Reads a duration in milliseconds, or another number within the same bounds. */
    double readDuration() throws InvalidSectionException {
        double ms = content.getDouble();
        check(SnapshotHeader.isTime(ms), "duration or count " + ms);
        return ms;
    }

    /** Reads the start time of a server in milliseconds. */
    double readStartTime() throws InvalidSectionException {
        double ms = content.getDouble();
        check(ms >= 0 && ms <= MAX_START_MS, "start time " + ms);
        return ms;
    }

    /** Reads a text in UTF-8. */
    String readText() throws InvalidSectionException, CharacterCodingException {
        int length = content.getShort();
        boolean valid = length >= 0 && length <= SectionWriter.MAX_TEXT_BYTES && length <= content.remaining();
        check(valid, "a text of " + length + " bytes");
        ByteBuffer bytes = content.slice(content.position(), length);
        content.position(content.position() + length);
        return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
    }
}
