package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.List;

/**
 * What a {@code location} matches.
 *
 * @param modifier {@code =}, {@code ^~}, {@code ~}, {@code ~*} or {@code @}; empty: none
 */
record LocationText(String modifier, String text) {
    private static final List<String> MODIFIERS = List.of("=", "^~", "~*", "~");

    /** Reads a location, whose modifier may be a word of its own or not. */
    static LocationText of(Directive location) {
        if (location.args().size() == 2) {
            return new LocationText(location.arg(0), location.arg(1));
        }
        String word = location.arg(0);
        for (String modifier : MODIFIERS) {
            if (word.startsWith(modifier)) {
                return new LocationText(modifier, word.substring(modifier.length()));
            }
        }
        return new LocationText(word.startsWith("@") ? "@" : "", word);
    }

    /** Whether it matches the whole path. */
    boolean isExact() {
        return modifier.equals("=");
    }

    /** Whether it matches the beginning of the path. */
    boolean isPrefix() {
        return modifier.isEmpty() || endsSearch();
    }

    /** Whether patterns of its level are not tried if it is the longest prefix. */
    boolean endsSearch() {
        return modifier.equals("^~");
    }

    /** Whether it is a pattern. */
    boolean isRegex() {
        return modifier.equals("~") || ignoresCase();
    }

    /** Whether it is a pattern that ignores case. */
    boolean ignoresCase() {
        return modifier.equals("~*");
    }

    /** Whether it is reached by name only. */
    boolean isNamed() {
        return modifier.equals("@");
    }
}
