package cacheproxy.hooks;

import java.util.ArrayList;
import java.util.List;

/**
 * Rewrites the bodies of functions so that they consume fuel: at their entry and at the start of each loop's body, the
 * cost of all instructions up to the next such place; before a bulk instruction, an amount in proportion to what it
 * moves.
 */
final class WasmFunctionMeter {
    private static final int MAX_LOCALS = 50_000;
    private static final int MAX_NESTING = 1000;
    /**
     * A bulk instruction moves 2 to the power of this many bytes or elements in the time that another instruction
     * takes.
     */
    private static final int BULK_UNITS_PER_FUEL_LOG2 = 4;

    private final WasmReader reader;
    private final WasmInstructionReader instructions;
    private final int fuelGlobal;

    /** @param fuelGlobal index of the global that holds the fuel, which follows the module's own globals */
    WasmFunctionMeter(WasmReader reader, int fuelGlobal) {
        this.reader = reader;
        this.fuelGlobal = fuelGlobal;
        instructions = new WasmInstructionReader(reader, fuelGlobal);
    }

    /** A place where fuel is consumed. */
    private static final class ChargePoint {
        /** Index of the instruction before which the fuel is consumed. */
        final int position;
        /**
         * Whether the fuel depends on how much the following bulk instruction moves, instead of being {@link #cost}.
         */
        final boolean bulk;

        long cost = 1;

        ChargePoint(int position, boolean bulk) {
            this.position = position;
            this.bulk = bulk;
        }
    }

    /**
     * Writes the metered body of a function. The reader must be at the start of the body.
     *
     * @param parameterCount the number of the function's parameters
     * @param end index after the end of the body
     */
    void meter(int parameterCount, int end, WasmWriter out) throws HookException {
        int groupCount = reader.readU32();
        int groupsStart = reader.position();
        long localCount = parameterCount;
        for (int remaining = groupCount; remaining > 0; remaining--) {
            localCount += Integer.toUnsignedLong(reader.readU32());
            reader.skip(1); // type
        }
        if (reader.position() > end) {
            throw new HookException(
                    "the module ends too early, or a function's locals go beyond its body, at byte " + end);
        }
        if (localCount > MAX_LOCALS) {
            throw new HookException("a function has " + localCount + " locals; at most " + MAX_LOCALS);
        }
        out.writeU32(groupCount + 1);
        reader.copyTo(out, groupsStart, reader.position());
        out.write(1); // one more local, for the length of a bulk instruction
        out.write(WasmOpcode.TYPE_I32);
        int lengthLocal = (int) localCount;
        int codeStart = reader.position();
        List<ChargePoint> chargePoints = findChargePoints(end);
        writeCode(codeStart, end, chargePoints, lengthLocal, out);
    }

    /** Reads the instructions to the end of the function; returns the charge points in the order of their positions. */
    private List<ChargePoint> findChargePoints(int end) throws HookException {
        ChargePoint entry = new ChargePoint(reader.position(), false);
        List<ChargePoint> chargePoints = new ArrayList<>(List.of(entry));
        // For each open block, the charge point to which the cost of its instructions is added.
        List<ChargePoint> openBlocks = new ArrayList<>(List.of(entry));
        while (reader.position() < end) {
            if (openBlocks.isEmpty()) {
                throw new HookException("instructions after a function's end, at byte " + reader.position());
            }
            ChargePoint current = openBlocks.get(openBlocks.size() - 1);
            int start = reader.position();
            int opcode = reader.readByte();
            current.cost += instructions.skipImmediates(opcode);
            switch (opcode) {
                case WasmOpcode.PREFIX_FC -> {
                    if (WasmOpcode.isBulk(reader.byteAt(start + 1))) {
                        chargePoints.add(new ChargePoint(start, true));
                    }
                }
                case WasmOpcode.LOOP -> {
                    ChargePoint loop = new ChargePoint(reader.position(), false);
                    chargePoints.add(loop);
                    openBlocks.add(loop);
                }
                case WasmOpcode.BLOCK, WasmOpcode.IF -> openBlocks.add(current);
                case WasmOpcode.END -> openBlocks.remove(openBlocks.size() - 1);
                default -> {}
            }
            if (openBlocks.size() > MAX_NESTING) {
                throw new HookException("more than " + MAX_NESTING + " nested blocks, at byte " + reader.position());
            }
        }
        if (reader.position() != end || !openBlocks.isEmpty()) {
            throw new HookException("a function's body does not end where it should, at byte " + end);
        }
        return chargePoints;
    }

    private void writeCode(int start, int end, List<ChargePoint> chargePoints, int lengthLocal, WasmWriter out) {
        int copied = start;
        for (ChargePoint point : chargePoints) {
            reader.copyTo(out, copied, point.position);
            if (point.bulk) {
                writeBulkCharge(lengthLocal, out);
            } else {
                writeCharge(point.cost, out);
            }
            copied = point.position;
        }
        reader.copyTo(out, copied, end);
    }

    private void writeCharge(long cost, WasmWriter out) {
        out.write(WasmOpcode.GLOBAL_GET);
        out.writeU32(fuelGlobal);
        out.write(WasmOpcode.I64_CONST);
        out.writeS64(cost);
        writeSubtraction(out);
    }

    /** Writes a charge for a bulk instruction, whose length is on top of the stack and stays there. */
    private void writeBulkCharge(int lengthLocal, WasmWriter out) {
        out.write(WasmOpcode.LOCAL_TEE);
        out.writeU32(lengthLocal);
        out.write(WasmOpcode.GLOBAL_GET);
        out.writeU32(fuelGlobal);
        out.write(WasmOpcode.LOCAL_GET);
        out.writeU32(lengthLocal);
        out.write(WasmOpcode.I64_EXTEND_I32_U);
        out.write(WasmOpcode.I64_CONST);
        out.writeS64(BULK_UNITS_PER_FUEL_LOG2);
        out.write(WasmOpcode.I64_SHR_U);
        writeSubtraction(out);
    }

    /**
     * Writes code that subtracts the cost on top of the stack from the fuel below it, and traps if the result is
     * negative.
     */
    private void writeSubtraction(WasmWriter out) {
        out.write(WasmOpcode.I64_SUB);
        out.write(WasmOpcode.GLOBAL_SET);
        out.writeU32(fuelGlobal);
        out.write(WasmOpcode.GLOBAL_GET);
        out.writeU32(fuelGlobal);
        out.write(WasmOpcode.I64_CONST);
        out.writeS64(0);
        out.write(WasmOpcode.I64_LT_S);
        out.write(WasmOpcode.IF);
        out.write(WasmOpcode.EMPTY_BLOCK);
        out.write(WasmOpcode.UNREACHABLE);
        out.write(WasmOpcode.END);
    }
}
