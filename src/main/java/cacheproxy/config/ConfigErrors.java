package cacheproxy.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.TomlPosition;

/** Collects the errors of one file with their places. */
final class ConfigErrors {
    private static final TomlPosition FILE_START = TomlPosition.positionAt(1, 1);
    private static final Comparator<Entry> FILE_ORDER =
            Comparator.comparingInt(Entry::line).thenComparingInt(Entry::column);

    private final String file;
    private final List<Entry> entries = new ArrayList<>();

    private record Entry(int line, int column, String message) {}

    /** No errors yet; {@code file} is named in each line. */
    ConfigErrors(String file) {
        this.file = file;
    }

    /** Adds an error; a position of null stands for the file's start. */
    void add(TomlPosition position, String message) {
        TomlPosition place = position == null ? FILE_START : position;
        entries.add(new Entry(place.line(), place.column(), message));
    }

    /** The number of errors so far. */
    int count() {
        return entries.size();
    }

    /** Throws if there are any. */
    void throwIfAny() throws ConfigException {
        if (!entries.isEmpty()) {
            throw new ConfigException(lines());
        }
    }

    /** One line for each error, in the file's order; errors of one place in the order in which they were found. */
    List<String> lines() {
        return entries.stream()
                .sorted(FILE_ORDER)
                .map(error -> file + ":" + error.line + ":" + error.column + ": " + error.message)
                .toList();
    }

    /** A message of a library, on one line. */
    static String oneLine(String message) {
        return String.valueOf(message).replaceAll("\\s+", " ");
    }
}
