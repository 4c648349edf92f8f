package cacheproxy.nginx.importer;

import java.util.List;
import java.util.stream.Collectors;

/** Builds a TOML document. */
final class TomlText {
    private static final char DELETE = 0x7F;

    private final StringBuilder out = new StringBuilder();

    /** Begins a table, such as {@code [[route]]}. */
    void table(String header) {
        out.append('\n').append(header).append('\n');
    }

    /** Adds a comment; characters that are not printable ASCII become question marks. */
    void comment(String text) {
        out.append("# ").append(text.replaceAll("[^ -~]", "?")).append('\n');
    }

    /** Adds a string. */
    void text(String key, String value) {
        value(key, quoted(value));
    }

    /** Adds a string, unless it is null. */
    void optionalText(String key, String value) {
        if (value != null) {
            text(key, value);
        }
    }

    /** Adds a list of strings. */
    void texts(String key, List<String> values) {
        value(key, values.stream().map(TomlText::quoted).collect(Collectors.joining(", ", "[", "]")));
    }

    /** Adds a number, without a fraction if it has none. */
    void number(String key, double value) {
        value(key, value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value));
    }

    /** Adds a boolean. */
    void flag(String key, boolean value) {
        value(key, Boolean.toString(value));
    }

    /** Adds a value that is already in TOML syntax. */
    void value(String key, String value) {
        out.append(key).append(" = ").append(value).append('\n');
    }

    /** Returns a text as a TOML literal string if that keeps a pattern readable, otherwise as a basic string. */
    static String quoted(String text) {
        boolean literalAllowed =
                text.chars().allMatch(character -> character >= ' ' && character < DELETE && character != '\'');
        if (text.indexOf('\\') >= 0 && literalAllowed) {
            return "'" + text + "'";
        }
        StringBuilder quoted = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character == '"' || character == '\\') {
                quoted.append('\\').append(character);
            } else if (character < ' ' || character >= DELETE) {
                quoted.append(String.format("\\u%04X", (int) character));
            } else {
                quoted.append(character);
            }
        }
        return quoted.append('"').toString();
    }

    @Override
    public String toString() {
        return out.toString();
    }
}
