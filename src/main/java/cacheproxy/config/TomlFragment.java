package cacheproxy.config;

import java.util.List;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * The part of a table that one chunk of the file has; see {@link ChunkedTomlParser}.
 *
 * @param linesBefore the lines of the file before the chunk
 */
record TomlFragment(TomlTable table, int linesBefore) {
    /** Whether this part has a key. */
    boolean has(String key) {
        return table.contains(List.of(key));
    }

    /** The value of a key; null where it is absent. */
    Object get(String key) {
        return table.get(List.of(key));
    }

    /** The position of a key in the file; null where it is absent. */
    TomlPosition positionOf(String key) {
        return inFile(table.inputPositionOf(List.of(key)));
    }

    /** The position in the file of one in the chunk; null for null. */
    TomlPosition inFile(TomlPosition inChunk) {
        return inChunk == null ? null : TomlPosition.positionAt(inChunk.line() + linesBefore, inChunk.column());
    }

    /** A table inside this one. */
    TomlFragment inner(TomlTable innerTable) {
        return new TomlFragment(innerTable, linesBefore);
    }
}
