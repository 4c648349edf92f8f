package cacheproxy.config;

import java.util.ArrayList;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * Parses a TOML text in chunks, each of which begins at a top-level table. The TOML parser holds about 200 bytes per
 * character until it has finished a text; parsing in chunks bounds this memory for files of any length.
 */
final class ChunkedTomlParser {
    /** A chunk ends at the first top-level table after this many characters. */
    static final int MIN_CHUNK_CHARS = 64 << 10;

    private final String text;
    private final List<Integer> boundaries = new ArrayList<>();

    /**
     * One parsed chunk.
     *
     * @param linesBefore number of lines of the file before the chunk
     */
    record Chunk(TomlParseResult toml, int linesBefore) {
        /** Converts a position in the chunk to one in the file; null stays null. */
        TomlPosition inFile(TomlPosition position) {
            return position == null ? null : TomlPosition.positionAt(position.line() + linesBefore, position.column());
        }
    }

    private ChunkedTomlParser(String text) {
        this.text = text;
    }

    /** Parses a whole text; syntax errors are in the chunks' results. */
    static List<Chunk> parse(String text) {
        ChunkedTomlParser parser = new ChunkedTomlParser(text);
        parser.findBoundaries();
        List<Chunk> chunks = new ArrayList<>();
        int start = 0;
        int lines = 0;
        for (int end : parser.boundaries) {
            String chunk = text.substring(start, end);
            chunks.add(new Chunk(Toml.parse(chunk), lines));
            lines += (int) chunk.chars().filter(character -> character == '\n').count();
            start = end;
        }
        chunks.add(new Chunk(Toml.parse(text.substring(start)), lines));
        return chunks;
    }

    /** Finds the line starts at which a chunk can begin, outside of strings, comments, arrays and inline tables. */
    private void findBoundaries() {
        int openBrackets = 0;
        boolean atLineStart = true;
        int lastBoundary = 0;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character == '\n') {
                atLineStart = true;
                continue;
            }
            boolean canBegin = atLineStart && openBrackets == 0 && character == '[';
            if (canBegin && i - lastBoundary >= MIN_CHUNK_CHARS && isTopLevelHeader(i)) {
                boundaries.add(i);
                lastBoundary = i;
            }
            atLineStart &= character == ' ' || character == '\t';
            switch (character) {
                case '#' -> i = indexOf("\n", i, false) - 1;
                case '"', '\'' -> i = lastIndexOfString(i);
                case '[', '{' -> openBrackets++;
                case ']', '}' -> openBrackets = Math.max(0, openBrackets - 1);
                default -> {}
            }
        }
    }

    /** Returns the index of the last character of the string that begins at {@code start}. */
    private int lastIndexOfString(int start) {
        String quote = text.substring(start, start + 1);
        boolean basic = quote.equals("\"");
        String multiLine = quote.repeat(3);
        return text.startsWith(multiLine, start)
                ? indexOf(multiLine, start + multiLine.length(), basic) + multiLine.length() - 1
                : indexOf(quote, start + 1, basic);
    }

    /**
     * Returns whether the header of a top-level table begins at {@code start}: {@code [[route]]}, but not
     * {@code [[pool.server]]}.
     */
    private boolean isTopLevelHeader(int start) {
        int i = start;
        while (i < text.length() && text.charAt(i) == '[') {
            i++;
        }
        int nameStart = i;
        while (i < text.length() && isBareKeyCharacter(text.charAt(i))) {
            i++;
        }
        return i > nameStart && i < text.length() && text.charAt(i) == ']';
    }

    private static boolean isBareKeyCharacter(char character) {
        return Character.isLetterOrDigit(character) || character == '_' || character == '-';
    }

    /**
     * Returns the index at which {@code closing} begins, or the length of the text if it is missing; the TOML parser
     * reports that error.
     */
    private int indexOf(String closing, int start, boolean escapes) {
        for (int i = start; i < text.length(); i++) {
            if (escapes && text.charAt(i) == '\\') {
                i++;
            } else if (text.startsWith(closing, i)) {
                return i;
            }
        }
        return text.length();
    }
}
