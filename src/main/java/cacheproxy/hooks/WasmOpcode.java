package cacheproxy.hooks;

/**
 * Bytes of the WebAssembly instructions and types (Core Specification 2.0, sections 5.3 and 5.4) that metering uses.
 */
final class WasmOpcode {
    static final int TYPE_I32 = 0x7F;
    static final int TYPE_I64 = 0x7E;
    static final int TYPE_F32 = 0x7D;
    static final int TYPE_F64 = 0x7C;
    static final int TYPE_FUNCTION = 0x60;
    /** The type of a block that takes and returns nothing. */
    static final int EMPTY_BLOCK = 0x40;

    static final int UNREACHABLE = 0x00;
    static final int NOP = 0x01;
    static final int BLOCK = 0x02;
    static final int LOOP = 0x03;
    static final int IF = 0x04;
    static final int ELSE = 0x05;
    static final int END = 0x0B;
    static final int BR = 0x0C;
    static final int BR_IF = 0x0D;
    static final int BR_TABLE = 0x0E;
    static final int RETURN = 0x0F;
    static final int CALL = 0x10;
    static final int CALL_INDIRECT = 0x11;
    static final int DROP = 0x1A;
    static final int SELECT = 0x1B;
    static final int SELECT_TYPED = 0x1C;
    static final int LOCAL_GET = 0x20;
    static final int LOCAL_SET = 0x21;
    static final int LOCAL_TEE = 0x22;
    static final int GLOBAL_GET = 0x23;
    static final int GLOBAL_SET = 0x24;
    static final int TABLE_GET = 0x25;
    static final int TABLE_SET = 0x26;
    /** The first of the loads and stores, which end with {@link #I64_STORE32}. */
    static final int I32_LOAD = 0x28;

    static final int I64_STORE32 = 0x3E;
    static final int MEMORY_SIZE = 0x3F;
    static final int MEMORY_GROW = 0x40;
    static final int I32_CONST = 0x41;
    static final int I64_CONST = 0x42;
    static final int F32_CONST = 0x43;
    static final int F64_CONST = 0x44;
    /** The first of the numeric instructions without immediates, which end with {@link #I64_EXTEND32_S}. */
    static final int I32_EQZ = 0x45;

    static final int I64_LT_S = 0x53;
    static final int I64_SUB = 0x7D;
    static final int I64_SHR_U = 0x88;
    static final int I64_EXTEND_I32_U = 0xAD;
    static final int I64_EXTEND32_S = 0xC4;
    static final int REF_NULL = 0xD0;
    static final int REF_IS_NULL = 0xD1;
    static final int REF_FUNC = 0xD2;
    /** The first byte of two-byte instructions, whose second byte is one of the constants below. */
    static final int PREFIX_FC = 0xFC;

    /** The first of the conversions of floating-point numbers that saturate, which end with {@link #LAST_TRUNC_SAT}. */
    static final int FIRST_TRUNC_SAT = 0;

    static final int LAST_TRUNC_SAT = 7;
    static final int MEMORY_INIT = 8;
    static final int DATA_DROP = 9;
    static final int MEMORY_COPY = 10;
    static final int MEMORY_FILL = 11;
    static final int TABLE_INIT = 12;
    static final int ELEM_DROP = 13;
    static final int TABLE_COPY = 14;
    static final int TABLE_GROW = 15;
    static final int TABLE_SIZE = 16;
    static final int TABLE_FILL = 17;

    private WasmOpcode() {}

    /** Returns whether an instruction after {@link #PREFIX_FC} moves as many bytes or elements as its operand says. */
    static boolean isBulk(int secondByte) {
        return switch (secondByte) {
            case MEMORY_INIT, MEMORY_COPY, MEMORY_FILL, TABLE_INIT, TABLE_COPY, TABLE_FILL -> true;
            default -> false;
        };
    }
}
