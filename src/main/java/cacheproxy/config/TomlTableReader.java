package cacheproxy.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of the file while it is read. Each key that is asked for is known from then on; {@link #end} tells of all
 * others. What is wrong is noted with its place and a stand-in value goes on, so that one pass finds every error.
 */
public final class TomlTableReader {
    private final List<Piece> pieces;
    private final String name;
    private final TomlPosition at;
    private final Errors errors;
    private final Set<String> known = new LinkedHashSet<>();

    /** A table, or what one part of the file has of it. */
    private record Piece(TomlTable table, int before) {
        TomlPosition at(TomlPosition p) {
            return p == null ? null : TomlPosition.positionAt(p.line() + before, p.column());
        }
    }

    /** All that was found to be wrong. */
    static final class Errors {
        private final String file;
        private final List<Entry> entries = new ArrayList<>();

        private record Entry(int line, int column, String text) {}

        Errors(String file) {
            this.file = file;
        }

        void add(TomlPosition at, String text) {
            entries.add(new Entry(at == null ? 1 : at.line(), at == null ? 1 : at.column(), text));
        }

        boolean none() {
            return entries.isEmpty();
        }

        /** In the file's order. */
        List<String> lines() {
            return entries.stream()
                    .sorted((a, b) ->
                            a.line != b.line ? Integer.compare(a.line, b.line) : Integer.compare(a.column, b.column))
                    .map(e -> file + ":" + e.line + ":" + e.column + ": " + e.text)
                    .toList();
        }
    }

    private TomlTableReader(List<Piece> pieces, String name, TomlPosition at, Errors errors) {
        this.pieces = pieces;
        this.name = name;
        this.at = at;
        this.errors = errors;
    }

    /**
     * Reads a TOML text and checks it whole: the exception has a line for each thing that is wrong, unknown keys of the
     * top level among them; those of other sections are told where the reader calls {@link #end}.
     *
     * @param file stands for the file in errors
     */
    public static <T> T parse(String file, String text, Function<TomlTableReader, T> reader) throws ConfigException {
        Errors errors = new Errors(file);
        List<ChunkedTomlParser.Part> parts = ChunkedTomlParser.parse(text);
        for (ChunkedTomlParser.Part p : parts) {
            p.toml().errors().forEach(e -> errors.add(p.at(e.position()), DaemonConfigReader.oneLine(e.getMessage())));
        }
        if (!errors.none()) {
            throw new ConfigException(errors.lines());
        }
        TomlTableReader root = root(parts, errors);
        T read = reader.apply(root);
        root.end();
        if (!errors.none()) {
            throw new ConfigException(errors.lines());
        }
        return read;
    }

    /** The whole file. */
    static TomlTableReader root(List<ChunkedTomlParser.Part> parts, Errors errors) {
        return new TomlTableReader(
                parts.stream().map(p -> new Piece(p.toml(), p.before())).toList(), "", null, errors);
    }

    Errors errors() {
        return errors;
    }

    /** Where a key stands, or the table if it is not there. */
    TomlPosition at(String key) {
        for (Piece p : pieces) {
            TomlPosition found = p.table.inputPositionOf(List.of(key));
            if (found != null) {
                return p.at(found);
            }
        }
        return at;
    }

    public void error(String key, String text) {
        errors.add(at(key), text);
    }

    public boolean has(String key) {
        known.add(key);
        return piece(key) != null;
    }

    /** The first that has a key; null if none does. */
    private Piece piece(String key) {
        for (Piece p : pieces) {
            if (p.table.contains(List.of(key))) {
                return p;
            }
        }
        return null;
    }

    private Object value(String key) {
        known.add(key);
        Piece p = piece(key);
        return p == null ? null : p.table.get(List.of(key));
    }

    public String text(String key) {
        String value = text(key, null);
        if (value == null) {
            if (piece(key) == null) {
                errors.add(at, name + " has no " + key + "; it must have one, a text");
            }
            return "";
        }
        if (value.isEmpty()) {
            error(key, key + " is empty; a text is wanted");
        }
        return value;
    }

    public String text(String key, String absent) {
        Object value = value(key);
        if (value == null || value instanceof String) {
            return value == null ? absent : (String) value;
        }
        error(key, key + " is no text; put it in quotes");
        return absent;
    }

    public double number(String key, double absent, double least, double most) {
        Object value = value(key);
        if (value == null) {
            return absent;
        }
        double n = value instanceof Number number ? number.doubleValue() : Double.NaN;
        if (!(n >= least && n <= most)) {
            error(
                    key,
                    key + " is " + (value instanceof Number ? figure(n) : "no number") + "; a number from "
                            + figure(least) + " to " + figure(most) + " is wanted");
            return absent;
        }
        return n;
    }

    public int integer(String key, int absent, int least, int most) {
        Object value = value(key);
        if (value != null && !(value instanceof Long)) {
            error(key, key + " is no whole number; one from " + least + " to " + most + " is wanted");
            return absent;
        }
        return (int) number(key, absent, least, most);
    }

    private static String figure(double n) {
        return n == Math.rint(n) && Math.abs(n) < 1e15 ? Long.toString((long) n) : Double.toString(n);
    }

    public boolean flag(String key, boolean absent) {
        Object value = value(key);
        if (value == null || value instanceof Boolean) {
            return value == null ? absent : (Boolean) value;
        }
        error(key, key + " is neither true nor false");
        return absent;
    }

    /** Null where the key is absent. */
    Boolean flagOrNull(String key) {
        return has(key) ? Boolean.valueOf(flag(key, false)) : null;
    }

    public String oneOf(String key, String absent, String... allowed) {
        String value = text(key, absent);
        if (value != absent && !List.of(allowed).contains(value)) {
            error(key, key + " is '" + value + "'; allowed: " + String.join(", ", allowed));
            return absent;
        }
        return value;
    }

    /** A text or a list of texts; empty where the key is absent. */
    public List<String> texts(String key) {
        Object value = value(key);
        if (value instanceof String s) {
            return List.of(s);
        }
        List<String> list = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String s) {
                    list.add(s);
                } else {
                    errors.add(piece(key).at(array.inputPositionOf(i)), key + " holds something that is no text");
                }
            }
        } else if (value != null) {
            error(key, key + " is neither a text nor a list of texts");
        }
        return list;
    }

    /** The table under a key; null where it is absent. */
    public TomlTableReader section(String key) {
        Object value = value(key);
        Piece first = piece(key);
        for (Piece p : pieces) {
            if (p != first && p.table.contains(List.of(key))) {
                errors.add(
                        p.at(p.table.inputPositionOf(List.of(key))),
                        key + " previously defined at line " + at(key).line());
            }
        }
        if (value instanceof TomlTable t) {
            return new TomlTableReader(
                    List.of(new Piece(t, first.before)), name.isEmpty() ? key : name + "." + key, at(key), errors);
        }
        if (value != null) {
            error(key, key + " is no table; write " + key + " = { ... } or [" + key + "]");
        }
        return null;
    }

    /** The tables under a key. */
    public List<TomlTableReader> sections(String key) {
        known.add(key);
        List<TomlTableReader> list = new ArrayList<>();
        for (Piece p : pieces) {
            Object value = p.table.get(List.of(key));
            if (value instanceof TomlArray array) {
                sections(key, p, array, list);
            } else if (value != null) {
                errors.add(
                        p.at(p.table.inputPositionOf(List.of(key))),
                        key + " is no list of tables; write [[" + key + "]]");
            }
        }
        return list;
    }

    private void sections(String key, Piece p, TomlArray array, List<TomlTableReader> into) {
        for (int i = 0; i < array.size(); i++) {
            if (array.get(i) instanceof TomlTable t) {
                Object named = t.get(List.of("name"));
                into.add(new TomlTableReader(
                        List.of(new Piece(t, p.before)),
                        key + (named instanceof String s ? " " + s : ""),
                        p.at(array.inputPositionOf(i)),
                        errors));
            } else {
                errors.add(p.at(array.inputPositionOf(i)), key + " holds something that is no table");
            }
        }
    }

    /** Tells of the keys that nothing has asked for. */
    public void end() {
        Set<String> keys = new LinkedHashSet<>();
        pieces.forEach(p -> keys.addAll(p.table.keySet()));
        for (String key : keys) {
            if (!known.contains(key)) {
                error(
                        key,
                        "unknown key '" + key + "'" + (name.isEmpty() ? "" : " in " + name) + "; allowed: "
                                + String.join(", ", new TreeSet<>(known)));
            }
        }
    }
}
