package cacheproxy.hooks;

import java.util.List;
import java.util.Map;

/**
 * Rewrites a module (WebAssembly Core Specification 2.0, section 5, without vectors) so that it counts its work. A
 * global holds the remaining fuel, each entry of a function or of a loop's body subtracts the cost of the instructions
 * up to the next such place, and negative fuel causes a trap. The count is the same for the interpreter, the compiler
 * and every machine.
 *
 * <p>Works in two passes: the first reads and checks the declarations, the second writes the sections and changes those
 * of the globals and of the code.
 */
final class WasmMeter {
    /** The magic number and the version. */
    private static final int PREAMBLE_BYTES = 8;

    private static final int MUTABLE = 1;

    private final byte[] module;
    private final WasmReader reader;
    private final WasmDeclarations declarations;

    /**
     * A metered module.
     *
     * @param fuelGlobal index of the global that holds the remaining fuel
     * @param initialPages the initial size of the memory in pages of 64 KiB; 0: the module has no memory
     */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    record Metered(byte[] module, int fuelGlobal, int initialPages) {}

    private WasmMeter(byte[] module, int maxPages, Map<String, String> offeredImports) {
        this.module = module;
        reader = new WasmReader(module);
        declarations = new WasmDeclarations(reader, maxPages, offeredImports);
    }

    /**
     * Meters a module.
     *
     * @param maxPages the maximum initial size of the module's memory, in pages of 64 KiB
     * @param offeredImports the signatures, such as {@code (i32,i32)->()}, of the offered imports, by
     *     {@code module.name}
     * @param initialFuel the fuel of a start function, which the module has until the fuel is first set
     * @throws HookException if the module is malformed, imports what is not offered or exceeds a bound
     */
    static Metered meter(byte[] module, int maxPages, Map<String, String> offeredImports, long initialFuel)
            throws HookException {
        if (module.length > HookModule.MAX_BYTES) {
            throw new HookException("the module has " + module.length + " bytes; at most " + HookModule.MAX_BYTES);
        }
        try {
            return new WasmMeter(module, maxPages, offeredImports).meter(initialFuel);
        } catch (IndexOutOfBoundsException | NegativeArraySizeException e) {
            throw new HookException("the module ends too early, at byte " + module.length);
        }
    }

    private Metered meter(long initialFuel) throws HookException {
        checkPreamble();
        reader.moveTo(PREAMBLE_BYTES);
        List<WasmSection> sections = WasmSection.readAll(reader);
        for (WasmSection section : sections) {
            declarations.read(section);
        }
        return new Metered(write(sections, initialFuel), declarations.globalCount(), declarations.initialPages());
    }

    private void checkPreamble() throws HookException {
        if (module.length < PREAMBLE_BYTES
                || module[0] != 0
                || module[1] != 'a'
                || module[2] != 's'
                || module[3] != 'm') {
            throw new HookException("this is no WebAssembly module: it does not begin with \\0asm");
        }
        if (module[4] != 1 || module[5] != 0 || module[6] != 0 || module[7] != 0) {
            throw new HookException("WebAssembly version " + module[4] + " is not supported; only version 1 is");
        }
    }

    private byte[] write(List<WasmSection> sections, long initialFuel) throws HookException {
        WasmWriter out = new WasmWriter();
        reader.copyTo(out, 0, PREAMBLE_BYTES);
        boolean globalsWritten = false;
        for (WasmSection section : sections) {
            boolean isGlobalSection = section.id() == WasmSection.GLOBAL;
            if (!globalsWritten && (isGlobalSection || section.followsGlobals())) {
                out.writeSection(WasmSection.GLOBAL, meteredGlobals(section, initialFuel));
                globalsWritten = true;
            }
            if (section.id() == WasmSection.CODE) {
                out.writeSection(WasmSection.CODE, meteredCode(section));
            } else if (!isGlobalSection) {
                WasmWriter content = new WasmWriter();
                reader.copyTo(content, section.start(), section.end());
                out.writeSection(section.id(), content);
            }
        }
        if (!globalsWritten) {
            throw new HookException("the module exports nothing");
        }
        return out.toByteArray();
    }

    /** Returns the module's globals, if this is their section, and the global that holds the fuel. */
    private WasmWriter meteredGlobals(WasmSection section, long initialFuel) throws HookException {
        WasmWriter content = new WasmWriter();
        content.writeU32(declarations.globalCount() + 1);
        if (section.id() == WasmSection.GLOBAL) {
            reader.moveTo(section.start());
            reader.readU32(); // their number
            reader.copyTo(content, reader.position(), section.end());
        }
        content.write(WasmOpcode.TYPE_I64);
        content.write(MUTABLE);
        content.write(WasmOpcode.I64_CONST);
        content.writeS64(initialFuel);
        content.write(WasmOpcode.END);
        return content;
    }

    private WasmWriter meteredCode(WasmSection section) throws HookException {
        reader.moveTo(section.start());
        int count = reader.readU32();
        if (count != declarations.functionCount()) {
            throw new HookException(
                    "there are " + declarations.functionCount() + " functions and " + count + " bodies");
        }
        WasmFunctionMeter functionMeter = new WasmFunctionMeter(reader, declarations.globalCount());
        WasmWriter content = new WasmWriter();
        content.writeU32(count);
        for (int function = 0; function < count; function++) {
            int size = reader.readU32();
            int end = reader.position() + size;
            if (size < 0 || end > section.end()) {
                throw new HookException("a function's body goes beyond its section");
            }
            WasmWriter body = new WasmWriter();
            functionMeter.meter(declarations.parameterCount(function), end, body);
            content.writeLengthPrefixed(body);
        }
        return content;
    }
}
