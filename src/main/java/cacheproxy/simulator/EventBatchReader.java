package cacheproxy.simulator;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads batches of events: a header, records of one size, and a tail that holds what varies in size. A batch's fields
 * are read one after another, little-endian, from a position that begins at a record.
 */
final class EventBatchReader {
    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final int CLOCK_OFFSET = 4;
    private static final int RECORD_COUNT_OFFSET = 12;
    private static final int BATCH_NUMBER_OFFSET = 16;
    private static final int HEADER_BYTES = 20;
    private static final int RECORD_BYTES = 48;
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final DataInputStream input;
    private ByteBuffer frame = newBuffer(INITIAL_BUFFER_BYTES);
    private double nowMs;
    private int batchNumber;
    private int recordCount;
    private int tailStart;

    EventBatchReader(InputStream input) {
        this.input = new DataInputStream(input);
    }

    private static ByteBuffer newBuffer(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    /**
     * Reads the next batch; false at the end of the input.
     *
     * @throws SimulatorProtocolException if the frame is malformed or cut short
     */
    boolean next() throws IOException {
        int firstByte = input.read();
        if (firstByte < 0) {
            return false;
        }
        try {
            readFrame(firstByte);
        } catch (EOFException e) {
            throw new SimulatorProtocolException("after batch " + batchNumber + ": input ends inside a frame");
        }
        nowMs = frame.getDouble(CLOCK_OFFSET);
        long count = Integer.toUnsignedLong(frame.getInt(RECORD_COUNT_OFFSET));
        batchNumber = frame.getInt(BATCH_NUMBER_OFFSET);
        if (HEADER_BYTES + count * RECORD_BYTES > frame.limit()) {
            throw new SimulatorProtocolException("batch " + batchNumber + ": " + count + " records exceed the frame");
        }
        recordCount = (int) count;
        tailStart = HEADER_BYTES + recordCount * RECORD_BYTES;
        return true;
    }

    @SuppressWarnings("ByteBufferBackingArray") // the buffer is allocated on the heap, here, with no offset
    private void readFrame(int firstByte) throws IOException {
        frame.clear();
        frame.put(0, (byte) firstByte);
        input.readFully(frame.array(), 1, LENGTH_BYTES - 1);
        int length = frame.getInt(0);
        if (length < HEADER_BYTES) {
            throw new SimulatorProtocolException(
                    "after batch " + batchNumber + ": frame of " + length + " bytes, under its header");
        }
        if (length > frame.capacity()) {
            frame = newBuffer(Math.max(length, length * 3 / 2)).putInt(0, length);
        }
        input.readFully(frame.array(), LENGTH_BYTES, length - LENGTH_BYTES);
        frame.limit(length);
    }

    /** Returns the batch's time, in milliseconds of the simulator's clock. */
    double nowMs() {
        return nowMs;
    }

    /** Returns the number that the simulator gave the batch. */
    int batchNumber() {
        return batchNumber;
    }

    /** Returns how many records the batch has. */
    int recordCount() {
        return recordCount;
    }

    /** Continues at the start of a record of the batch. */
    void moveToRecord(int index) {
        frame.position(HEADER_BYTES + index * RECORD_BYTES);
    }

    /**
     * Reads an offset and a length from a record, and continues at what they name in the tail.
     *
     * @param unitBytes size of what the length counts
     * @return the length
     * @throws SimulatorProtocolException if it is not all in the tail
     */
    int moveToTail(int unitBytes) {
        long offset = Integer.toUnsignedLong(frame.getInt());
        int count = frame.getInt();
        long bytes = Integer.toUnsignedLong(count) * unitBytes;
        if (bytes == 0) {
            frame.position(tailStart);
            return 0;
        }
        if (tailStart + offset + bytes > frame.limit()) {
            throw new SimulatorProtocolException(
                    "offset " + offset + " with " + bytes + " bytes lies outside the tail");
        }
        frame.position((int) (tailStart + offset));
        return count;
    }

    /** Reads an offset and a length from a record; returns the bytes that they name in the tail. */
    byte[] readTailBytes() {
        byte[] bytes = new byte[moveToTail(Byte.BYTES)];
        frame.get(bytes);
        return bytes;
    }

    /** Skips bytes of a record. */
    void skip(int bytes) {
        frame.position(frame.position() + bytes);
    }

    /** Reads a number of 8 bits, 0 to 255. */
    int readU8() {
        return frame.get() & 0xFF;
    }

    /** Reads a number of 16 bits, 0 to 65,535. */
    int readU16() {
        return frame.getShort() & 0xFFFF;
    }

    /** Reads a number of 32 bits; as it is an id or a code, its sign means nothing. */
    int readInt() {
        return frame.getInt();
    }

    /** Reads a number of 64 bits; as it is a key or a seed, its sign means nothing. */
    long readLong() {
        return frame.getLong();
    }

    /** Reads a floating-point number of 32 bits. */
    float readFloat() {
        return frame.getFloat();
    }

    /** Reads a floating-point number of 64 bits. */
    double readDouble() {
        return frame.getDouble();
    }
}
