package cacheproxy.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the values of one TOML table. Every key that has been requested counts as known; {@link #rejectUnknownKeys}
 * reports all others. An error is collected with its position and the default is returned, so that one pass finds every
 * error.
 */
public final class TomlTableReader {
    /** Whole numbers below this are printed without a fraction; a double holds all of them exactly. */
    private static final double MAX_PRINTED_WHOLE = 1e15;

    private final FragmentedTable content;
    private final String name;
    private final TomlPosition position;
    private final ConfigErrors errors;
    private final Set<String> knownKeys = new LinkedHashSet<>();

    private TomlTableReader(FragmentedTable content, String name, TomlPosition position, ConfigErrors errors) {
        this.content = content;
        this.name = name;
        this.position = position;
        this.errors = errors;
    }

    /**
     * Parses and reads a whole TOML text. Unknown keys of the top level are reported here; for other tables the reader
     * calls {@link #rejectUnknownKeys}.
     *
     * @param file name of the file in errors
     * @param reader reads the top-level table
     * @throws ConfigException with one line for each error
     */
    public static <T> T parse(String file, String text, Function<TomlTableReader, T> reader) throws ConfigException {
        ConfigErrors errors = new ConfigErrors(file);
        List<ChunkedTomlParser.Chunk> chunks = ChunkedTomlParser.parse(text);
        for (ChunkedTomlParser.Chunk chunk : chunks) {
            chunk.toml()
                    .errors()
                    .forEach(error ->
                            errors.add(chunk.inFile(error.position()), ConfigErrors.oneLine(error.getMessage())));
        }
        errors.throwIfAny();
        List<TomlFragment> fragments = chunks.stream()
                .map(chunk -> new TomlFragment(chunk.toml(), chunk.linesBefore()))
                .toList();
        TomlTableReader root = new TomlTableReader(new FragmentedTable(fragments), "", null, errors);
        T result = reader.apply(root);
        root.rejectUnknownKeys();
        errors.throwIfAny();
        return result;
    }

    /** Returns the errors of the whole file. */
    ConfigErrors errors() {
        return errors;
    }

    /** Returns the position of a key, or of the table if the key is absent. */
    TomlPosition positionOf(String key) {
        return content.positionOf(key).orElse(position);
    }

    /** Reports an error at a key, or at the table if the key is absent. */
    public void error(String key, String message) {
        errors.add(positionOf(key), message);
    }

    /** Returns whether the table has a key, and marks the key as known. */
    public boolean has(String key) {
        knownKeys.add(key);
        return content.fragmentWith(key).isPresent();
    }

    private Object value(String key) {
        knownKeys.add(key);
        return content.fragmentWith(key).map(fragment -> fragment.get(key)).orElse(null);
    }

    /** Returns a required, non-empty text; empty after an error. */
    public String text(String key) {
        String value = text(key, null);
        if (value == null) {
            if (content.fragmentWith(key).isEmpty()) {
                errors.add(position, name + " has no " + key + "; a string is required");
            }
            return "";
        }
        if (value.isEmpty()) {
            error(key, key + " is empty; a non-empty string is required");
        }
        return value;
    }

    /** Returns an optional text. */
    public String text(String key, String defaultValue) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String text) {
            return text;
        }
        error(key, key + " is not a string; put it in quotes");
        return defaultValue;
    }

    /** Returns an optional number from {@code min} to {@code max}; {@code defaultValue} itself is not checked. */
    public double number(String key, double defaultValue, double min, double max) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        double number = value instanceof Number boxed ? boxed.doubleValue() : Double.NaN;
        if (!(number >= min && number <= max)) {
            String found = value instanceof Number ? format(number) : "not a number";
            error(key, key + " is " + found + "; a number from " + format(min) + " to " + format(max) + " is required");
            return defaultValue;
        }
        return number;
    }

    /** Returns an optional whole number from {@code min} to {@code max}; {@code defaultValue} itself is not checked. */
    public int integer(String key, int defaultValue, int min, int max) {
        Object value = value(key);
        if (value != null && !(value instanceof Long)) {
            error(key, key + " is not a whole number; one from " + min + " to " + max + " is required");
            return defaultValue;
        }
        return (int) number(key, defaultValue, min, max);
    }

    private static String format(double number) {
        return number == Math.rint(number) && Math.abs(number) < MAX_PRINTED_WHOLE
                ? Long.toString((long) number)
                : Double.toString(number);
    }

    /** Returns an optional boolean. */
    public boolean flag(String key, boolean defaultValue) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        error(key, key + " is neither true nor false");
        return defaultValue;
    }

    /** Returns a boolean; null if the key is absent. */
    Boolean flagOrNull(String key) {
        return has(key) ? Boolean.valueOf(flag(key, false)) : null;
    }

    /** Returns an optional text, which must be one of {@code allowed}. */
    public String oneOf(String key, String defaultValue, String... allowed) {
        String value = text(key, null);
        if (value == null) {
            return defaultValue;
        }
        if (!List.of(allowed).contains(value)) {
            error(key, key + " is '" + value + "'; allowed: " + String.join(", ", allowed));
            return defaultValue;
        }
        return value;
    }

    /**
     * Returns an optional text, which must be a name that the file defines.
     *
     * @param kind what the names denote, for error messages
     * @return the text, even after an error; null if the key is absent
     */
    String reference(String key, Collection<String> names, String kind) {
        String value = text(key, null);
        if (value != null) {
            checkReference(key, value, names, kind);
        }
        return value;
    }

    /** Returns the distinct texts of a key, each of which must be a name that the file defines. */
    List<String> references(String key, Collection<String> names, String kind) {
        List<String> values = texts(key);
        values.forEach(value -> checkReference(key, value, names, kind));
        return values.stream().distinct().toList();
    }

    /** Returns whether a value is one of the names that the file defines; reports an error if it is not. */
    boolean checkReference(String key, String value, Collection<String> names, String kind) {
        if (names.contains(value)) {
            return true;
        }
        error(
                key,
                "there is no " + kind + " '" + value + "'; there are: "
                        + String.join(", ", names.stream().distinct().sorted().toList()));
        return false;
    }

    /** Returns the texts of a key, which holds one text or a list of texts; empty if the key is absent. */
    public List<String> texts(String key) {
        Object value = value(key);
        if (value instanceof String text) {
            return List.of(text);
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            TomlFragment fragment = content.fragmentWith(key).orElseThrow();
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String text) {
                    texts.add(text);
                } else {
                    errors.add(
                            fragment.inFile(array.inputPositionOf(i)), key + " contains a value that is not a string");
                }
            }
        } else if (value != null) {
            error(key, key + " is neither a string nor a list of strings");
        }
        return texts;
    }

    /** Returns the table under a key; null if it is absent. */
    public TomlTableReader table(String key) {
        Object value = value(key);
        rejectRepeatedDefinitions(key);
        if (value instanceof TomlTable table) {
            TomlFragment inner = content.fragmentWith(key).orElseThrow().inner(table);
            String innerName = name.isEmpty() ? key : name + "." + key;
            return new TomlTableReader(FragmentedTable.of(inner), innerName, positionOf(key), errors);
        }
        if (value != null) {
            error(key, key + " is not a table; write " + key + " = { ... } or [" + key + "]");
        }
        return null;
    }

    /** Returns the table under a key; if it is absent, an empty table, of which every value is the default. */
    TomlTableReader tableOrEmpty(String key) {
        TomlTableReader table = table(key);
        return table != null ? table : new TomlTableReader(FragmentedTable.empty(), key, position, errors);
    }

    private void rejectRepeatedDefinitions(String key) {
        for (TomlPosition repeat : content.repeatedDefinitions(key)) {
            errors.add(
                    repeat,
                    key + " previously defined at line " + positionOf(key).line());
        }
    }

    /** Returns the tables under a key, in the order of the file. */
    public List<TomlTableReader> tables(String key) {
        knownKeys.add(key);
        List<TomlTableReader> tables = new ArrayList<>();
        for (TomlFragment fragment : content.fragments()) {
            Object value = fragment.get(key);
            if (value instanceof TomlArray array) {
                addTables(key, fragment, array, tables);
            } else if (value != null) {
                errors.add(fragment.positionOf(key), key + " is not a list of tables; write [[" + key + "]]");
            }
        }
        return tables;
    }

    private void addTables(String key, TomlFragment fragment, TomlArray array, List<TomlTableReader> tables) {
        for (int i = 0; i < array.size(); i++) {
            TomlPosition start = fragment.inFile(array.inputPositionOf(i));
            if (array.get(i) instanceof TomlTable table) {
                String title = table.get(List.of("name")) instanceof String text ? key + " " + text : key;
                tables.add(new TomlTableReader(FragmentedTable.of(fragment.inner(table)), title, start, errors));
            } else {
                errors.add(start, key + " contains a value that is not a table");
            }
        }
    }

    /** Reports the keys that have not been requested; must be called after all known keys have been requested. */
    public void rejectUnknownKeys() {
        Set<String> keys = content.keys();
        keys.removeAll(knownKeys);
        for (String key : keys) {
            error(
                    key,
                    "unknown key '" + key + "'" + (name.isEmpty() ? "" : " in " + name) + "; allowed: "
                            + String.join(", ", new TreeSet<>(knownKeys)));
        }
    }
}
