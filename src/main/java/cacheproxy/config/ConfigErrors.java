package cacheproxy.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.TomlPosition;

/** Collects the errors of one file with their positions. */
final class ConfigErrors {
    private static final TomlPosition FILE_START = TomlPosition.positionAt(1, 1);
    private static final Comparator<Entry> FILE_ORDER =
            Comparator.comparingInt(Entry::line).thenComparingInt(Entry::column);

    private final String file;
    private final List<Entry> entries = new ArrayList<>();

    private record Entry(int line, int column, String message) {}

    /** Creates an empty collection; each error line begins with {@code file}. */
    ConfigErrors(String file) {
        this.file = file;
    }

    /** Adds an error; a null position stands for the start of the file. */
    void add(TomlPosition position, String message) {
        TomlPosition place = position == null ? FILE_START : position;
        entries.add(new Entry(place.line(), place.column(), message));
    }

    /** Returns the number of errors so far. */
    int count() {
        return entries.size();
    }

    /** Throws an exception that holds all errors, if there are any. */
    void throwIfAny() throws ConfigException {
        if (!entries.isEmpty()) {
            throw new ConfigException(lines());
        }
    }

    /**
     * Returns one line for each error, in the order of the file; errors at the same position are in the order in which
     * they were found.
     */
    List<String> lines() {
        return entries.stream()
                .sorted(FILE_ORDER)
                .map(error -> file + ":" + error.line + ":" + error.column + ": " + error.message)
                .toList();
    }

    /** Returns a library's message on one line, with each run of white space replaced by one space. */
    static String oneLine(String message) {
        return String.valueOf(message).replaceAll("\\s+", " ");
    }
}
