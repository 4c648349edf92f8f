package cacheproxy.nginx;

/**
 * Splits a file into words, semicolons and braces as nginx does: a quote or {@code #} is special only at the beginning
 * of a word, <code>${</code> opens no block, and an unquoted word ends at white space, {@code ;} or <code>{</code>.
 */
final class ConfLexer {
    /** Kinds of tokens. */
    enum Kind {
        WORD,
        SEMICOLON,
        OPEN_BRACE,
        CLOSE_BRACE,
        END_OF_FILE
    }

    /** The longest word, in bytes; nginx has the same limit. */
    static final int MAX_WORD_BYTES = 4095;

    /** The byte order mark of UTF-8, as ISO 8859-1 text. */
    private static final String BYTE_ORDER_MARK = "\u00EF\u00BB\u00BF";

    private static final char DELETE = 0x7F;

    private final String file;
    private final String text;
    /** Index of the next character to read. */
    private int next;

    private int line = 1;
    private int lineStartOffset;

    private String word = "";
    private int tokenLine;
    private int tokenColumn;

    /**
     * Creates a lexer.
     *
     * @param file the file's name, for positions
     * @param text the file's bytes as ISO 8859-1 text
     */
    ConfLexer(String file, String text) {
        this.file = file;
        this.text = text;
        if (text.startsWith(BYTE_ORDER_MARK)) {
            next = BYTE_ORDER_MARK.length();
            lineStartOffset = next;
        }
    }

    /** Returns the position of the last token. */
    Position tokenPosition() {
        return new Position(file, tokenLine, tokenColumn);
    }

    /** Returns the last word, without its quotes and with its escapes resolved. */
    String word() {
        return word;
    }

    /**
     * Reads a token.
     *
     * @throws NginxSyntaxException if the text is binary, a quote is not closed or a word is too long
     */
    Kind next() throws NginxSyntaxException {
        skipBlanksAndComments();
        tokenLine = line;
        tokenColumn = column();
        if (next == text.length()) {
            return Kind.END_OF_FILE;
        }
        char first = text.charAt(next);
        return switch (first) {
            case ';' -> singleCharacterToken(Kind.SEMICOLON);
            case '{' -> singleCharacterToken(Kind.OPEN_BRACE);
            case '}' -> singleCharacterToken(Kind.CLOSE_BRACE);
            case '"', '\'' -> {
                word = quotedWord(first);
                yield Kind.WORD;
            }
            default -> {
                word = unquotedWord();
                yield Kind.WORD;
            }
        };
    }

    /**
     * Reads the text of a Lua block whose opening brace is already read, and consumes its closing brace. Braces in Lua
     * strings and comments are ignored.
     *
     * @throws NginxSyntaxException if the block is not closed
     */
    String rawBlock() throws NginxSyntaxException {
        Position open = tokenPosition();
        int start = next;
        int depth = 1;
        while (next < text.length()) {
            char character = checkedCharacter();
            if (character == '-' && text.startsWith("--", next)) {
                next = endOfLine();
                continue;
            }
            if (character == '"' || character == '\'') {
                skipLuaString(character);
            } else if (character == '{') {
                depth++;
            } else if (character == '}' && --depth == 0) {
                return text.substring(start, next++);
            }
            next++;
        }
        throw new NginxSyntaxException(open, "the block that opens here is not closed");
    }

    private Kind singleCharacterToken(Kind kind) {
        next++;
        return kind;
    }

    private void skipBlanksAndComments() {
        for (; next < text.length(); next++) {
            char character = text.charAt(next);
            if (character == '#') {
                next = endOfLine() - 1;
            } else if (character == '\n') {
                beginLine();
            } else if (character != ' ' && character != '\t' && character != '\r') {
                return;
            }
        }
    }

    /** Returns the index of the next line break, or the end of the text. */
    private int endOfLine() {
        int end = text.indexOf('\n', next);
        return end < 0 ? text.length() : end;
    }

    private void beginLine() {
        line++;
        lineStartOffset = next + 1;
    }

    private int column() {
        return next - lineStartOffset + 1;
    }

    /** Returns the next character, and counts it if it is a line break; rejects control characters. */
    private char checkedCharacter() throws NginxSyntaxException {
        char character = text.charAt(next);
        boolean blank = character == '\t' || character == '\r' || character == '\n';
        if ((character < ' ' && !blank) || character == DELETE) {
            throw new NginxSyntaxException(
                    new Position(file, line, column()),
                    "byte 0x" + String.format("%02x", (int) character) + " in column " + column()
                            + "; this is no text");
        }
        if (character == '\n') {
            beginLine();
        }
        return character;
    }

    private String quotedWord(char quote) throws NginxSyntaxException {
        StringBuilder out = new StringBuilder();
        next++;
        for (; ; next++) {
            if (next >= text.length()) {
                throw new NginxSyntaxException(tokenPosition(), "the quote that opens here is not closed");
            }
            char character = checkedCharacter();
            if (character == quote) {
                break;
            }
            appendUnescaped(character, out);
        }
        next++;
        checkEndOfQuotedWord();
        return out.toString();
    }

    private void checkEndOfQuotedWord() throws NginxSyntaxException {
        char after = next < text.length() ? text.charAt(next) : ' ';
        if (" \t\r\n;{)".indexOf(after) < 0) {
            throw new NginxSyntaxException(
                    new Position(file, line, column()),
                    "unexpected '" + after + "' behind a closing quote; white space, ; or { must follow");
        }
    }

    private String unquotedWord() throws NginxSyntaxException {
        StringBuilder out = new StringBuilder();
        boolean afterDollar = false;
        for (; next < text.length(); next++) {
            char character = text.charAt(next);
            boolean opensBlock = character == '{' && !afterDollar;
            if (" \t\r\n;".indexOf(character) >= 0 || opensBlock) {
                break;
            }
            appendUnescaped(checkedCharacter(), out);
            afterDollar = character == '$';
        }
        return out.toString();
    }

    /** Appends the character at {@code next}; if it is a backslash, reads and appends the escaped character instead. */
    private void appendUnescaped(char character, StringBuilder out) throws NginxSyntaxException {
        if (character == '\\' && next + 1 < text.length()) {
            next++;
            appendEscaped(checkedCharacter(), out);
        } else {
            out.append(character);
        }
        if (out.length() > MAX_WORD_BYTES) {
            throw new NginxSyntaxException(
                    tokenPosition(),
                    "a parameter of more than " + MAX_WORD_BYTES
                            + " bytes begins here; probably a closing quote or a semicolon is missing");
        }
    }

    /** Appends what an escape stands for. Unknown escapes are kept with their backslash, for regular expressions. */
    private static void appendEscaped(char character, StringBuilder out) {
        switch (character) {
            case '"', '\'', '\\' -> out.append(character);
            case 't' -> out.append('\t');
            case 'r' -> out.append('\r');
            case 'n' -> out.append('\n');
            default -> out.append('\\').append(character);
        }
    }

    private void skipLuaString(char quote) throws NginxSyntaxException {
        for (next++; next < text.length() && text.charAt(next) != quote && text.charAt(next) != '\n'; next++) {
            if (checkedCharacter() == '\\') {
                next++;
            }
        }
    }
}
