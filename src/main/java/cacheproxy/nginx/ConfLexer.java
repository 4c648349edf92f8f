package cacheproxy.nginx;

/**
 * Cuts a file into words, semicolons and braces as nginx does: quotes count only where a word begins, {@code #} begins
 * a comment only there, <code>${</code> opens no block, a word without quotes ends at white space, {@code ;} and <code>
 * {</code>.
 */
final class ConfLexer {
    enum Kind {
        WORD,
        SEMICOLON,
        OPEN,
        CLOSE,
        END
    }

    /** nginx's own bound on what it reads a word into. */
    static final int MAX_WORD = 4095;

    private final String file;
    private final String text;
    private int next;
    private int line = 1;
    private int lineStart;
    /** Of the last word. */
    String word;

    private int tokenLine;
    private int tokenColumn;

    ConfLexer(String file, String text) {
        this.file = file;
        this.text = text;
        if (text.startsWith("\u00EF\u00BB\u00BF")) { // a byte order mark
            next = 3;
            lineStart = 3;
        }
    }

    /** Where the last token stands. */
    Position at() {
        return new Position(file, tokenLine, tokenColumn);
    }

    Kind next() throws NginxSyntaxException {
        skip();
        tokenLine = line;
        tokenColumn = next - lineStart + 1;
        if (next == text.length()) {
            return Kind.END;
        }
        char c = text.charAt(next);
        return switch (c) {
            case ';' -> {
                next++;
                yield Kind.SEMICOLON;
            }
            case '{' -> {
                next++;
                yield Kind.OPEN;
            }
            case '}' -> {
                next++;
                yield Kind.CLOSE;
            }
            case '"', '\'' -> {
                quotedWord(c);
                yield Kind.WORD;
            }
            default -> {
                plainWord();
                yield Kind.WORD;
            }
        };
    }

    private void skip() {
        for (; next < text.length(); next++) {
            char c = text.charAt(next);
            if (c == '#') {
                int end = text.indexOf('\n', next);
                next = (end < 0 ? text.length() : end) - 1;
            } else if (c == '\n') {
                newLine();
            } else if (c != ' ' && c != '\t' && c != '\r') {
                return;
            }
        }
    }

    private void newLine() {
        line++;
        lineStart = next + 1;
    }

    private char checked() throws NginxSyntaxException {
        char c = text.charAt(next);
        if ((c < ' ' && c != '\t' && c != '\r' && c != '\n') || c == 0x7F) {
            throw new NginxSyntaxException(
                    new Position(file, line, next - lineStart + 1),
                    "byte 0x" + String.format("%02x", (int) c) + " in column " + (next - lineStart + 1)
                            + "; this is no text");
        }
        if (c == '\n') {
            newLine();
        }
        return c;
    }

    private void quotedWord(char quote) throws NginxSyntaxException {
        StringBuilder out = new StringBuilder();
        next++;
        for (; ; next++) {
            if (next >= text.length()) {
                throw new NginxSyntaxException(at(), "the quote that opens here is not closed");
            }
            char c = checked();
            if (c == quote) {
                break;
            }
            if (c == '\\' && next + 1 < text.length()) {
                next++;
                escape(checked(), out);
            } else {
                out.append(c);
            }
            bound(out);
        }
        next++;
        char after = next < text.length() ? text.charAt(next) : ' ';
        if (" \t\r\n;{)".indexOf(after) < 0) {
            throw new NginxSyntaxException(
                    new Position(file, line, next - lineStart + 1),
                    "unexpected '" + after + "' behind a closing quote; white space, ; or { must follow");
        }
        word = out.toString();
    }

    private void plainWord() throws NginxSyntaxException {
        StringBuilder out = new StringBuilder();
        boolean variable = false;
        for (; next < text.length(); next++) {
            char c = text.charAt(next);
            boolean brace = c == '{' && variable;
            if (" \t\r\n;".indexOf(c) >= 0 || (c == '{' && !brace)) {
                break;
            }
            checked();
            variable = c == '$';
            if (c == '\\' && next + 1 < text.length()) {
                next++;
                escape(checked(), out);
            } else {
                out.append(c);
            }
            bound(out);
        }
        word = out.toString();
    }

    /** Other escapes stay as they are: they are the regular expressions'. */
    private static void escape(char c, StringBuilder out) {
        switch (c) {
            case '"', '\'', '\\' -> out.append(c);
            case 't' -> out.append('\t');
            case 'r' -> out.append('\r');
            case 'n' -> out.append('\n');
            default -> out.append('\\').append(c);
        }
    }

    private void bound(StringBuilder out) throws NginxSyntaxException {
        if (out.length() > MAX_WORD) {
            throw new NginxSyntaxException(
                    at(),
                    "a parameter of more than " + MAX_WORD
                            + " bytes begins here; probably a closing quote or a semicolon is missing");
        }
    }

    /** The text up to the brace that closes the one just read, of another grammar: Lua's strings and comments count. */
    String rawBlock() throws NginxSyntaxException {
        Position open = at();
        int from = next;
        int depth = 1;
        while (next < text.length()) {
            char c = checked();
            if (c == '-' && text.startsWith("--", next)) {
                int end = text.indexOf('\n', next);
                next = end < 0 ? text.length() : end;
                continue;
            }
            if (c == '"' || c == '\'') {
                skipString(c);
            } else if (c == '{') {
                depth++;
            } else if (c == '}' && --depth == 0) {
                return text.substring(from, next++);
            }
            next++;
        }
        throw new NginxSyntaxException(open, "the block that opens here is not closed");
    }

    private void skipString(char quote) throws NginxSyntaxException {
        for (next++; next < text.length() && text.charAt(next) != quote && text.charAt(next) != '\n'; next++) {
            if (checked() == '\\') {
                next++;
            }
        }
    }
}
