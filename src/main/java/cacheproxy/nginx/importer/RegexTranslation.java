package cacheproxy.nginx.importer;

import cacheproxy.routes.KeyPattern;

/**
 * A pattern of nginx (PCRE) in the syntax of routes (RE2), for paths in which some bytes stay escaped.
 *
 * @param text null if there is none that says the same
 * @param why the reason then
 */
record RegexTranslation(String text, String why) {
    static RegexTranslation of(String pcre, boolean anyCase) {
        StringBuilder out = new StringBuilder(anyCase ? "(?i)" : "");
        boolean inClass = false;
        for (int i = 0; i < pcre.length(); i++) {
            char c = pcre.charAt(i);
            if (c == '\\' && i + 1 < pcre.length()) {
                char next = pcre.charAt(++i);
                if (next == '?' || next == '%' || next == '#' || next == ' ') {
                    if (inClass) {
                        return new RegexTranslation(null, "a class with '" + next + "', which keys hold escaped");
                    }
                    out.append(escaped(next));
                } else if (next >= '1' && next <= '9' && !inClass) {
                    return new RegexTranslation(null, "a back-reference, \\" + next);
                } else if ("gkGKRXhHvVNZ".indexOf(next) >= 0) {
                    return new RegexTranslation(null, "\\" + next + " has no counterpart");
                } else {
                    out.append('\\').append(next);
                }
                continue;
            }
            if (inClass) {
                if (c <= ' ' || c > '~' || c == '%' || c == '?' || c == '#') {
                    return new RegexTranslation(null, "a class with '" + c + "', which keys hold escaped");
                }
                if (c == '[' && i + 1 < pcre.length() && pcre.charAt(i + 1) == ':') { // [:alpha:]
                    int end = pcre.indexOf(":]", i);
                    if (end > 0) {
                        out.append(pcre, i, end + 2);
                        i = end + 1;
                        continue;
                    }
                }
                inClass = c != ']';
                out.append(c);
            } else if (c == '[') {
                inClass = true;
                out.append(c);
                if (i + 1 < pcre.length() && pcre.charAt(i + 1) == '^') {
                    out.append(pcre.charAt(++i));
                }
                if (i + 1 < pcre.length() && pcre.charAt(i + 1) == ']') { // a bracket that stands first is meant
                    out.append("\\]");
                    i++;
                }
            } else if (pcre.startsWith("(?<", i) && i + 3 < pcre.length() && "=!".indexOf(pcre.charAt(i + 3)) < 0) {
                out.append("(?P<");
                i += 2;
            } else if (pcre.startsWith("(?=", i) || pcre.startsWith("(?!", i) || pcre.startsWith("(?<", i)) {
                return new RegexTranslation(null, "look-around, " + pcre.substring(i, Math.min(pcre.length(), i + 4)));
            } else if (c <= ' ' || c > '~' || c == '%' || c == '#') {
                out.append(escaped(c));
            } else {
                out.append(c);
            }
        }
        try {
            new KeyPattern(out.toString());
        } catch (IllegalArgumentException e) {
            return new RegexTranslation(null, e.getMessage());
        }
        return new RegexTranslation(out.toString(), null);
    }

    private static String escaped(char c) {
        return String.format("(?:%%%02X)", (int) c);
    }

    /** A text as a pattern that matches it alone. */
    static String quoted(String text) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!Character.isLetterOrDigit(c) && c != '/' && c != '_' && c != '-' && c != '%') {
                out.append('\\');
            }
            out.append(c);
        }
        return out.toString();
    }
}
