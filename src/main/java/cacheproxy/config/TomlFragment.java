package cacheproxy.config;

import java.util.List;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * The part of a table that is in one chunk of the file; see {@link ChunkedTomlParser}.
 *
 * @param linesBefore number of lines of the file before the chunk
 */
record TomlFragment(TomlTable table, int linesBefore) {
    /** Returns whether this part has a key. */
    boolean has(String key) {
        return table.contains(List.of(key));
    }

    /** Returns the value of a key; null if the key is absent. */
    Object get(String key) {
        return table.get(List.of(key));
    }

    /** Returns the position of a key in the file; null if the key is absent. */
    TomlPosition positionOf(String key) {
        return inFile(table.inputPositionOf(List.of(key)));
    }

    /** Converts a position in the chunk to one in the file; null stays null. */
    TomlPosition inFile(TomlPosition inChunk) {
        return inChunk == null ? null : TomlPosition.positionAt(inChunk.line() + linesBefore, inChunk.column());
    }

    /** Returns the part of a table inside this one. */
    TomlFragment inner(TomlTable innerTable) {
        return new TomlFragment(innerTable, linesBefore);
    }
}
