package cacheproxy.hooks;

import java.nio.charset.StandardCharsets;

/**
 * Reads the binary form of a WebAssembly module (Core Specification 2.0, section 5) at a position that moves forward.
 * Reads past the end throw {@link ArrayIndexOutOfBoundsException}, which {@link WasmMeter} reports as a truncated
 * module.
 */
final class WasmReader {
    private static final int LEB128_PAYLOAD_BITS = 7;
    private static final int LEB128_PAYLOAD_MASK = 0x7F;
    /** Shift of the fifth and last byte of a 32-bit number. */
    private static final int MAX_U32_SHIFT = 28;

    private final byte[] module;
    private int position;

    WasmReader(byte[] module) {
        this.module = module;
    }

    /** Returns the index of the next byte. */
    int position() {
        return position;
    }

    /** Continues at an index. */
    void moveTo(int newPosition) {
        position = newPosition;
    }

    /** Skips bytes. Only the next read checks that the module has them. */
    void skip(int bytes) {
        position += bytes;
    }

    /** Returns the length of the module in bytes. */
    int length() {
        return module.length;
    }

    /** Returns the number of bytes from the position to the end of the module. */
    int remaining() {
        return module.length - position;
    }

    /** Reads a byte, 0 to 255. */
    int readByte() {
        return module[position++] & 0xFF;
    }

    /** Returns the byte at an index, 0 to 255, without moving the position. */
    int byteAt(int index) {
        return module[index] & 0xFF;
    }

    /** Reads an unsigned LEB128 number of 32 bits; values from 2<sup>31</sup> are negative. */
    int readU32() throws HookException {
        long value = 0;
        for (int shift = 0; ; shift += LEB128_PAYLOAD_BITS) {
            int current = module[position++];
            value |= (long) (current & LEB128_PAYLOAD_MASK) << shift;
            if (current >= 0) {
                return (int) value;
            }
            if (shift >= MAX_U32_SHIFT) {
                throw numberTooLong();
            }
        }
    }

    /** Skips a signed or unsigned LEB128 number of at most this many bits. */
    void skipNumber(int maxBits) throws HookException {
        for (int bits = LEB128_PAYLOAD_BITS; ; bits += LEB128_PAYLOAD_BITS) {
            if (module[position++] >= 0) {
                return;
            }
            if (bits >= maxBits) {
                throw numberTooLong();
            }
        }
    }

    private HookException numberTooLong() {
        return new HookException("a number at byte " + position + " is too long");
    }

    /** Reads a name: its length in bytes and its UTF-8 bytes. */
    String readName() throws HookException {
        int length = readU32();
        if (length < 0 || length > remaining()) {
            throw new HookException("a name at byte " + position + " goes beyond the module's end");
        }
        String name = new String(module, position, length, StandardCharsets.UTF_8);
        position += length;
        return name;
    }

    /** Copies the bytes of a range without moving the position. */
    void copyTo(WasmWriter out, int start, int end) {
        out.write(module, start, end - start);
    }
}
