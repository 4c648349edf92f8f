package cacheproxy.nginx.importer;

import cacheproxy.routes.KeyPattern;

/** Translates one pattern from PCRE to RE2. */
final class RegexTranslator {
    private static final String IGNORE_CASE = "(?i)";
    /** Escapes of PCRE that RE2 lacks or that have another meaning in RE2. */
    private static final String UNSUPPORTED_ESCAPES = "gkGKRXhHvVNZ";
    /** Characters that are literal when escaped, and that are percent-encoded in keys. */
    private static final String ENCODED_WHEN_ESCAPED = "?%# ";

    private final String pcre;
    private final StringBuilder out = new StringBuilder();
    /** Index of the next character to read. */
    private int next;

    private boolean inClass;

    RegexTranslator(String pcre, boolean ignoreCase) {
        this.pcre = pcre;
        out.append(ignoreCase ? IGNORE_CASE : "");
    }

    /**
     * Returns the pattern in RE2.
     *
     * @throws UnsupportedDirectiveException if no RE2 pattern has the same meaning
     */
    String translate() throws UnsupportedDirectiveException {
        while (next < pcre.length()) {
            if (pcre.charAt(next) == '\\' && next + 1 < pcre.length()) {
                translateEscape(pcre.charAt(next + 1));
                next += 2;
            } else if (inClass) {
                translateInClass(pcre.charAt(next));
            } else {
                translateOutsideClass(pcre.charAt(next));
            }
        }
        try {
            new KeyPattern(out.toString());
        } catch (IllegalArgumentException e) {
            throw new UnsupportedDirectiveException(e.getMessage());
        }
        return out.toString();
    }

    private void translateEscape(char escaped) throws UnsupportedDirectiveException {
        if (ENCODED_WHEN_ESCAPED.indexOf(escaped) >= 0) {
            if (inClass) {
                throw encodedInClass(escaped);
            }
            out.append(percentEncoded(escaped));
        } else if (escaped >= '1' && escaped <= '9' && !inClass) {
            throw new UnsupportedDirectiveException("a back-reference, \\" + escaped);
        } else if (UNSUPPORTED_ESCAPES.indexOf(escaped) >= 0) {
            throw new UnsupportedDirectiveException("\\" + escaped + " has no counterpart");
        } else {
            out.append('\\').append(escaped);
        }
    }

    private void translateInClass(char character) throws UnsupportedDirectiveException {
        if (!isPrintable(character) || "%?#".indexOf(character) >= 0) {
            throw encodedInClass(character);
        }
        int endOfNamedClass = pcre.startsWith("[:", next) ? pcre.indexOf(":]", next) : -1;
        if (endOfNamedClass > 0) { // [:alpha:]
            out.append(pcre, next, endOfNamedClass + 2);
            next = endOfNamedClass + 2;
            return;
        }
        inClass = character != ']';
        out.append(character);
        next++;
    }

    private void translateOutsideClass(char character) throws UnsupportedDirectiveException {
        if (character == '[') {
            beginClass();
        } else if (isNamedGroup()) {
            out.append("(?P<");
            next += "(?<".length();
        } else if (pcre.startsWith("(?=", next) || pcre.startsWith("(?!", next) || pcre.startsWith("(?<", next)) {
            String beginning = pcre.substring(next, Math.min(pcre.length(), next + 4));
            throw new UnsupportedDirectiveException("look-around, " + beginning);
        } else {
            boolean encoded = !isPrintable(character) || character == '%' || character == '#';
            out.append(encoded ? percentEncoded(character) : String.valueOf(character));
            next++;
        }
    }

    private boolean isNamedGroup() {
        return pcre.startsWith("(?<", next) && next + 3 < pcre.length() && "=!".indexOf(pcre.charAt(next + 3)) < 0;
    }

    private void beginClass() {
        inClass = true;
        out.append('[');
        next++;
        if (pcre.startsWith("^", next)) {
            out.append('^');
            next++;
        }
        if (pcre.startsWith("]", next)) { // a closing bracket at the beginning of a class is literal
            out.append("\\]");
            next++;
        }
    }

    private static boolean isPrintable(char character) {
        return character > ' ' && character <= '~';
    }

    private static UnsupportedDirectiveException encodedInClass(char character) {
        return new UnsupportedDirectiveException(
                "a class with '" + character + "', which keys contain percent-encoded");
    }

    private static String percentEncoded(char character) {
        return String.format("(?:%%%02X)", (int) character);
    }
}
