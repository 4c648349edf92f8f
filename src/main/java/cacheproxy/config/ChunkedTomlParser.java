package cacheproxy.config;

import java.util.ArrayList;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * A TOML text parsed in parts, cut before tables of the top level. The parser keeps several objects for each character
 * until it is done, some 200 bytes in all; parts bound that for files of any length.
 */
final class ChunkedTomlParser {
    /** A part is cut at the first table behind so many characters. */
    static final int PART = 64 << 10;

    /** One part; its lines count from {@code before}. */
    record Part(TomlParseResult toml, int before) {
        TomlPosition at(TomlPosition p) {
            return p == null ? null : TomlPosition.positionAt(p.line() + before, p.column());
        }
    }

    private ChunkedTomlParser() {}

    static List<Part> parse(String text) {
        List<Part> parts = new ArrayList<>();
        int from = 0;
        int line = 0;
        for (int cut : cuts(text)) {
            parts.add(new Part(Toml.parse(text.substring(from, cut)), line));
            line += (int)
                    text.substring(from, cut).chars().filter(c -> c == '\n').count();
            from = cut;
        }
        parts.add(new Part(Toml.parse(text.substring(from)), line));
        return parts;
    }

    /** Where lines begin that may be the first of a part. */
    private static List<Integer> cuts(String text) {
        List<Integer> cuts = new ArrayList<>();
        int brackets = 0; // open ones of arrays and inline tables
        boolean lineStart = true;
        int last = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '\n') {
                lineStart = true;
                continue;
            }
            if (lineStart && brackets == 0 && c == '[' && i - last >= PART && isTopLevel(text, i)) {
                cuts.add(i);
                last = i;
            }
            lineStart &= c == ' ' || c == '\t';
            switch (c) {
                case '#' -> i = endOf(text, "\n", i, false) - 1;
                case '"', '\'' -> {
                    String quote = String.valueOf(c);
                    boolean basic = c == '"';
                    if (text.startsWith(quote.repeat(3), i)) {
                        i = endOf(text, quote.repeat(3), i + 3, basic) + 2;
                    } else {
                        i = endOf(text, quote, i + 1, basic);
                    }
                }
                case '[', '{' -> brackets++;
                case ']', '}' -> brackets = Math.max(0, brackets - 1);
                default -> {}
            }
        }
        return cuts;
    }

    /** Whether a table's head follows whose name has no dot: {@code [[route]]}, but not {@code [[pool.server]]}. */
    private static boolean isTopLevel(String text, int at) {
        int i = at;
        while (i < text.length() && text.charAt(i) == '[') {
            i++;
        }
        int from = i;
        while (i < text.length()
                && (Character.isLetterOrDigit(text.charAt(i)) || text.charAt(i) == '_' || text.charAt(i) == '-')) {
            i++;
        }
        return i > from && i < text.length() && text.charAt(i) == ']';
    }

    /** Where the closing text begins; the end of all if there is none, which the parser tells of. */
    private static int endOf(String text, String closing, int from, boolean escapes) {
        for (int i = from; i < text.length(); i++) {
            if (escapes && text.charAt(i) == '\\') {
                i++;
            } else if (text.startsWith(closing, i)) {
                return i;
            }
        }
        return text.length();
    }
}
