package cacheproxy.hooks;

import java.io.ByteArrayOutputStream;

/** Writes the binary form of a WebAssembly module (Core Specification 2.0, section 5) into memory. */
final class WasmWriter extends ByteArrayOutputStream {
    private static final int LEB128_PAYLOAD_BITS = 7;
    private static final int LEB128_PAYLOAD_MASK = 0x7F;
    private static final int LEB128_CONTINUATION = 0x80;
    private static final int LEB128_SIGN = 0x40;

    /** Writes an unsigned LEB128 number of 32 bits; values from 2<sup>31</sup> are passed as negative numbers. */
    void writeU32(int value) {
        int rest = value;
        while ((rest & ~LEB128_PAYLOAD_MASK) != 0) {
            write((rest & LEB128_PAYLOAD_MASK) | LEB128_CONTINUATION);
            rest >>>= LEB128_PAYLOAD_BITS;
        }
        write(rest);
    }

    /** Writes a signed LEB128 number of 64 bits. */
    void writeS64(long value) {
        long rest = value;
        while (true) {
            int payload = (int) rest & LEB128_PAYLOAD_MASK;
            rest >>= LEB128_PAYLOAD_BITS;
            boolean negative = (payload & LEB128_SIGN) != 0;
            if ((rest == 0 && !negative) || (rest == -1 && negative)) {
                write(payload);
                return;
            }
            write(payload | LEB128_CONTINUATION);
        }
    }

    /** Writes the length of another writer's bytes, followed by these bytes. */
    void writeLengthPrefixed(WasmWriter body) {
        writeU32(body.size());
        write(body.toByteArray(), 0, body.size());
    }

    /** Writes a section: its id, its length and its content. */
    void writeSection(int id, WasmWriter content) {
        write(id);
        writeLengthPrefixed(content);
    }
}
