package cacheproxy.hooks;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The declarations that precede a module's code: types, imports, functions, tables, memory and globals. Checks, before
 * any code runs, that each import is offered with its type and that tables and memory are within their bounds.
 */
final class WasmDeclarations {
    private static final int MAX_TABLE_ELEMENTS = 65_536;
    /** In the flags of a table or memory: a maximum follows the minimum. */
    private static final int FLAG_HAS_MAXIMUM = 1;
    /** Kind of an import or export. */
    private static final int KIND_FUNCTION = 0;

    private final WasmReader reader;
    private final int maxPages;
    private final Map<String, String> offeredImports;
    /** The signature of each type, such as {@code (i32,i32)->()}. */
    private List<String> signatures = new ArrayList<>();
    /** The number of parameters of each type. */
    private final List<Integer> parameterCounts = new ArrayList<>();
    /** The type of each of the module's own functions. */
    private final List<Integer> functionTypes = new ArrayList<>();

    private int globalCount;
    private int initialPages;

    /**
     * @param maxPages the maximum initial size of the module's memory, in pages of 64 KiB
     * @param offeredImports signatures by {@code module.name}
     */
    WasmDeclarations(WasmReader reader, int maxPages, Map<String, String> offeredImports) {
        this.reader = reader;
        this.maxPages = maxPages;
        this.offeredImports = offeredImports;
    }

    /** Reads the declarations in a section; other sections are ignored. */
    void read(WasmSection section) throws HookException {
        reader.moveTo(section.start());
        switch (section.id()) {
            case WasmSection.TYPE -> readTypes();
            case WasmSection.IMPORT -> readImports();
            case WasmSection.FUNCTION -> readFunctions();
            case WasmSection.TABLE -> readTables();
            case WasmSection.MEMORY -> readMemories();
            case WasmSection.GLOBAL -> globalCount = reader.readU32();
            default -> {}
        }
    }

    /** Returns the number of globals; imports of globals are not offered, so all are the module's own. */
    int globalCount() {
        return globalCount;
    }

    /** Returns the initial size of the memory in pages of 64 KiB; 0 if there is no memory. */
    int initialPages() {
        return initialPages;
    }

    /** Returns the number of the module's own functions. */
    int functionCount() {
        return functionTypes.size();
    }

    /** Returns the number of parameters of one of the module's own functions. */
    int parameterCount(int function) throws HookException {
        return typeAt(parameterCounts, functionTypes.get(function));
    }

    private void readTypes() throws HookException {
        signatures = new ArrayList<>();
        for (int remaining = reader.readU32(); remaining > 0; remaining--) {
            if (reader.readByte() != WasmOpcode.TYPE_FUNCTION) {
                throw new HookException("a type at byte " + reader.position() + " is not a function type");
            }
            List<String> parameters = readValueTypes();
            List<String> results = readValueTypes();
            parameterCounts.add(parameters.size());
            signatures.add("(" + String.join(",", parameters) + ")->(" + String.join(",", results) + ")");
        }
    }

    private List<String> readValueTypes() throws HookException {
        List<String> types = new ArrayList<>();
        for (int remaining = reader.readU32(); remaining > 0; remaining--) {
            types.add(valueTypeName(reader.readByte()));
        }
        return types;
    }

    private static String valueTypeName(int code) {
        return switch (code) {
            case WasmOpcode.TYPE_I32 -> "i32";
            case WasmOpcode.TYPE_I64 -> "i64";
            case WasmOpcode.TYPE_F32 -> "f32";
            case WasmOpcode.TYPE_F64 -> "f64";
            default -> "0x" + Integer.toHexString(code);
        };
    }

    private void readImports() throws HookException {
        for (int remaining = reader.readU32(); remaining > 0; remaining--) {
            String name = reader.readName() + "." + reader.readName();
            boolean isFunction = reader.readByte() == KIND_FUNCTION;
            String signature = isFunction ? typeAt(signatures, reader.readU32()) : null;
            String offered = offeredImports.get(name);
            if (offered == null || !offered.equals(signature)) {
                throw notOffered(name, signature);
            }
        }
    }

    private HookException notOffered(String name, String signature) {
        List<String> offered = offeredImports.keySet().stream()
                .sorted()
                .map(offeredName -> offeredName + " " + offeredImports.get(offeredName))
                .toList();
        return new HookException("it imports " + name + (signature == null ? "" : " " + signature)
                + ", which is not offered; there are " + String.join(", ", offered));
    }

    private static <T> T typeAt(List<T> types, int index) throws HookException {
        if (index < 0 || index >= types.size()) {
            throw new HookException("there is no type " + index);
        }
        return types.get(index);
    }

    private void readFunctions() throws HookException {
        for (int remaining = reader.readU32(); remaining > 0; remaining--) {
            functionTypes.add(reader.readU32());
        }
    }

    private void readTables() throws HookException {
        for (int remaining = reader.readU32(); remaining > 0; remaining--) {
            reader.skip(1); // type of the elements
            int flags = reader.readByte();
            int minimum = readMinimum(flags);
            if (minimum < 0 || minimum > MAX_TABLE_ELEMENTS) {
                throw new HookException("a table has " + Integer.toUnsignedString(minimum) + " elements; at most "
                        + MAX_TABLE_ELEMENTS);
            }
        }
    }

    private void readMemories() throws HookException {
        for (int remaining = reader.readU32(); remaining > 0; remaining--) {
            int flags = reader.readByte();
            int minimum = readMinimum(flags);
            if (flags > FLAG_HAS_MAXIMUM || minimum < 0 || minimum > maxPages) {
                throw new HookException("its memory has " + Integer.toUnsignedString(minimum)
                        + " pages at its start; memory_pages is " + maxPages);
            }
            initialPages = minimum;
        }
    }

    /** Reads the limits of a table or memory, and returns the minimum. */
    private int readMinimum(int flags) throws HookException {
        int minimum = reader.readU32();
        if ((flags & FLAG_HAS_MAXIMUM) != 0) {
            reader.readU32();
        }
        return minimum;
    }
}
