package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.List;

/**
 * The modifier and text of a {@code location}.
 *
 * @param modifier {@code =}, {@code ^~}, {@code ~}, {@code ~*} or {@code @}; empty if there is none
 */
record LocationText(String modifier, String text) {
    private static final List<String> MODIFIERS = List.of("=", "^~", "~*", "~");

    /** Parses a location, whose modifier can be a separate word or the beginning of the text. */
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

    /** Returns whether it matches the whole path. */
    boolean isExact() {
        return modifier.equals("=");
    }

    /** Returns whether it matches the beginning of the path. */
    boolean isPrefix() {
        return modifier.isEmpty() || endsSearch();
    }

    /** Returns whether the patterns of its level are skipped if it is the longest matching prefix. */
    boolean endsSearch() {
        return modifier.equals("^~");
    }

    /** Returns whether it is a pattern. */
    boolean isRegex() {
        return modifier.equals("~") || ignoresCase();
    }

    /** Returns whether it is a pattern that ignores case. */
    boolean ignoresCase() {
        return modifier.equals("~*");
    }

    /** Returns whether it can be reached by name only. */
    boolean isNamed() {
        return modifier.equals("@");
    }
}
