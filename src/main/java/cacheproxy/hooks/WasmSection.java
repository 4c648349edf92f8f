package cacheproxy.hooks;

import java.util.ArrayList;
import java.util.List;

/**
 * The position of a section in a module.
 *
 * @param id the kind of section: one of the constants below, or another number
 * @param start index of its first byte after its id and length
 * @param end index after its last byte
 */
record WasmSection(int id, int start, int end) {
    static final int TYPE = 1;
    static final int IMPORT = 2;
    static final int FUNCTION = 3;
    static final int TABLE = 4;
    static final int MEMORY = 5;
    static final int GLOBAL = 6;
    static final int EXPORT = 7;
    static final int START = 8;
    static final int ELEMENT = 9;
    static final int CODE = 10;
    static final int DATA = 11;
    static final int DATA_COUNT = 12;

    /** Reads the sections' ids and lengths from the position to the end of the module. */
    static List<WasmSection> readAll(WasmReader reader) throws HookException {
        List<WasmSection> sections = new ArrayList<>();
        while (reader.remaining() > 0) {
            int id = reader.readByte();
            int size = reader.readU32();
            if (size < 0 || size > reader.remaining()) {
                throw new HookException(
                        "section " + id + " at byte " + reader.position() + " goes beyond the module's end");
            }
            int start = reader.position();
            sections.add(new WasmSection(id, start, start + size));
            reader.skip(size);
        }
        return sections;
    }

    /** Returns whether sections of this kind follow the section of the globals. */
    boolean followsGlobals() {
        return switch (id) {
            case EXPORT, START, ELEMENT, CODE, DATA, DATA_COUNT -> true;
            default -> false;
        };
    }
}
