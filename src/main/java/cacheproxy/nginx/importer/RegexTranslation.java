package cacheproxy.nginx.importer;

/**
 * A pattern of nginx (PCRE) in the syntax of routes (RE2), for paths in which some bytes stay percent-encoded.
 *
 * @param text the pattern; null if there is none with the same meaning
 * @param reason why there is none
 */
record RegexTranslation(String text, String reason) {
    /** Translates a pattern. */
    static RegexTranslation of(String pcre, boolean ignoreCase) {
        try {
            return new RegexTranslation(new RegexTranslator(pcre, ignoreCase).translate(), null);
        } catch (UnsupportedDirectiveException e) {
            return new RegexTranslation(null, e.getMessage());
        }
    }

    /** Translates the pattern of a map's entry, {@code ~PATTERN} or {@code ~*PATTERN}. */
    static RegexTranslation ofMapEntry(String entryName) {
        boolean ignoreCase = entryName.startsWith("~*");
        return of(entryName.substring(ignoreCase ? 2 : 1), ignoreCase);
    }

    /** Whether there is a pattern with the same meaning. */
    boolean isSupported() {
        return text != null;
    }

    /** A pattern that matches this text alone. */
    static String quoted(String text) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (!Character.isLetterOrDigit(character) && "/_-%".indexOf(character) < 0) {
                out.append('\\');
            }
            out.append(character);
        }
        return out.toString();
    }
}
