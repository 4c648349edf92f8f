package cacheproxy.hooks;

/**
 * Reads instructions one by one to find their lengths and their costs. Rejects those that are not metered (vectors,
 * threads, exceptions, tail calls and the growth of tables) and any use of the global that holds the fuel.
 */
final class WasmInstructionReader {
    /** Fuel that every instruction consumes except those that clear pages. */
    private static final long UNIT_COST = 1;
    /** Fuel that growing the memory consumes, because it clears pages. */
    private static final long MEMORY_GROW_COST = 4096;
    /** A block's type is an index or a negative number: a signed LEB128 number of 33 bits. */
    private static final int BLOCK_TYPE_BITS = 33;

    private final WasmReader reader;
    private final int globalCount;

    /** @param globalCount the number of the module's own globals; the global after them holds the fuel */
    WasmInstructionReader(WasmReader reader, int globalCount) {
        this.reader = reader;
        this.globalCount = globalCount;
    }

    /**
     * Moves the reader past the immediates of an instruction whose first byte was read; returns the instruction's cost
     * in fuel.
     */
    long skipImmediates(int opcode) throws HookException {
        if (opcode >= WasmOpcode.I32_LOAD && opcode <= WasmOpcode.I64_STORE32) {
            reader.readU32(); // alignment
            reader.readU32(); // offset
        } else if (hasIndexImmediate(opcode)) {
            reader.readU32();
        } else if (opcode == WasmOpcode.MEMORY_GROW) {
            reader.skip(1); // memory
            return MEMORY_GROW_COST;
        } else if (!hasNoImmediates(opcode)) {
            skipOtherImmediates(opcode);
        }
        return UNIT_COST;
    }

    private static boolean hasNoImmediates(int opcode) {
        if (opcode >= WasmOpcode.I32_EQZ && opcode <= WasmOpcode.I64_EXTEND32_S) {
            return true;
        }
        return switch (opcode) {
            case WasmOpcode.UNREACHABLE,
                    WasmOpcode.NOP,
                    WasmOpcode.ELSE,
                    WasmOpcode.END,
                    WasmOpcode.RETURN,
                    WasmOpcode.DROP,
                    WasmOpcode.SELECT,
                    WasmOpcode.REF_IS_NULL -> true;
            default -> false;
        };
    }

    private static boolean hasIndexImmediate(int opcode) {
        return switch (opcode) {
            case WasmOpcode.BR,
                    WasmOpcode.BR_IF,
                    WasmOpcode.CALL,
                    WasmOpcode.LOCAL_GET,
                    WasmOpcode.LOCAL_SET,
                    WasmOpcode.LOCAL_TEE,
                    WasmOpcode.TABLE_GET,
                    WasmOpcode.TABLE_SET,
                    WasmOpcode.REF_FUNC -> true;
            default -> false;
        };
    }

    private void skipOtherImmediates(int opcode) throws HookException {
        switch (opcode) {
            case WasmOpcode.BLOCK, WasmOpcode.LOOP, WasmOpcode.IF -> reader.skipNumber(BLOCK_TYPE_BITS);
            case WasmOpcode.GLOBAL_GET, WasmOpcode.GLOBAL_SET -> readGlobalIndex();
            case WasmOpcode.BR_TABLE -> skipBranchTable();
            case WasmOpcode.CALL_INDIRECT -> {
                reader.readU32(); // type
                reader.readU32(); // table
            }
            case WasmOpcode.SELECT_TYPED -> skipValueTypes();
            case WasmOpcode.MEMORY_SIZE, WasmOpcode.REF_NULL -> reader.skip(1);
            case WasmOpcode.I32_CONST -> reader.skipNumber(Integer.SIZE);
            case WasmOpcode.I64_CONST -> reader.skipNumber(Long.SIZE);
            case WasmOpcode.F32_CONST -> reader.skip(Float.BYTES);
            case WasmOpcode.F64_CONST -> reader.skip(Double.BYTES);
            case WasmOpcode.PREFIX_FC -> skipPrefixed();
            default ->
                throw new HookException(
                        "instruction 0x" + Integer.toHexString(opcode) + " at byte "
                                + (reader.position() - 1)
                                + " is not supported; compile for WebAssembly 2.0 without vectors, threads, exceptions and tail calls");
        }
    }

    private void readGlobalIndex() throws HookException {
        int index = reader.readU32();
        if (index >= globalCount) {
            throw new HookException("there is no global " + index);
        }
    }

    private void skipBranchTable() throws HookException {
        for (int remaining = reader.readU32(); remaining >= 0; remaining--) { // one more, the default label
            reader.readU32();
        }
    }

    private void skipValueTypes() throws HookException {
        for (int remaining = reader.readU32(); remaining > 0; remaining--) {
            reader.skip(1);
        }
    }

    private void skipPrefixed() throws HookException {
        int start = reader.position();
        int opcode = reader.readU32();
        if (reader.position() != start + 1) {
            // Bulk instructions are recognized by their second byte alone.
            throw new HookException("instruction 0xfc at byte " + start + " is encoded in more bytes than it needs");
        }
        if (opcode >= WasmOpcode.FIRST_TRUNC_SAT && opcode <= WasmOpcode.LAST_TRUNC_SAT) {
            return;
        }
        switch (opcode) {
            case WasmOpcode.MEMORY_INIT -> {
                reader.readU32(); // data segment
                reader.skip(1); // memory
            }
            case WasmOpcode.DATA_DROP, WasmOpcode.ELEM_DROP, WasmOpcode.TABLE_SIZE, WasmOpcode.TABLE_FILL ->
                reader.readU32();
            case WasmOpcode.MEMORY_COPY -> reader.skip(2); // both memories
            case WasmOpcode.MEMORY_FILL -> reader.skip(1); // memory
            case WasmOpcode.TABLE_INIT, WasmOpcode.TABLE_COPY -> {
                reader.readU32();
                reader.readU32();
            }
            default ->
                throw new HookException("instruction 0xfc " + opcode + " is not supported"
                        + (opcode == WasmOpcode.TABLE_GROW ? ": tables can't grow" : ""));
        }
    }
}
