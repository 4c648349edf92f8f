package cacheproxy.nginx.importer;

/**
 * An nginx pattern (PCRE) translated to the syntax of routes (RE2), for paths in which some bytes remain
 * percent-encoded.
 *
 * @param text the RE2 pattern; null if no RE2 pattern has the same meaning
 * @param reason why there is no such pattern; null if there is one
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

    /** Translates the pattern of a map entry, {@code ~PATTERN} or {@code ~*PATTERN}. */
    static RegexTranslation ofMapEntry(String entryName) {
        boolean ignoreCase = entryName.startsWith("~*");
        return of(entryName.substring(ignoreCase ? 2 : 1), ignoreCase);
    }

    /** Whether there is an RE2 pattern with the same meaning. */
    boolean isSupported() {
        return text != null;
    }

    /** Returns a pattern that matches only this text. */
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
