package cacheproxy.fakes.nginx;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Caches compiled patterns. */
final class PatternCache {
    private record Key(String regex, boolean ignoreCase) {}

    private final Map<Key, Pattern> patterns = new HashMap<>();

    /** Returns the compiled pattern of a regular expression. */
    Pattern get(String regex, boolean ignoreCase) {
        return patterns.computeIfAbsent(
                new Key(regex, ignoreCase), key -> Pattern.compile(regex, ignoreCase ? Pattern.CASE_INSENSITIVE : 0));
    }
}
