package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.Locale;
import java.util.Set;

/**
 * Looks up texts in {@code map} blocks: equal entries, then host masks, then patterns in order, and finally the
 * default.
 */
final class MapLookup {
    private static final Set<String> OPTIONS = Set.of("default", "hostnames", "volatile");

    private final PatternCache patterns;

    MapLookup(PatternCache patterns) {
        this.patterns = patterns;
    }

    /** Returns the value for a text, without expanding variables in the value. */
    String lookUp(Directive map, String text) {
        String found = equalEntry(map, text);
        if (found == null && !map.childrenNamed("hostnames").isEmpty()) {
            found = longestMask(map, text, true);
            if (found == null) {
                found = longestMask(map, text, false);
            }
        }
        if (found == null) {
            found = firstPattern(map, text);
        }
        if (found != null) {
            return found;
        }
        Directive entry = map.lastChildNamed("default");
        return entry == null ? "" : entry.arg(0);
    }

    private static String equalEntry(Directive map, String text) {
        for (Directive entry : map.block()) {
            String name = entry.name();
            String literal = name.startsWith("\\") ? name.substring(1) : name;
            if (!OPTIONS.contains(name) && !name.startsWith("~") && literal.equalsIgnoreCase(text)) {
                return entry.arg(0);
            }
        }
        return null;
    }

    /** Returns the value of the longest matching mask with its star at the front, or else at the end. */
    private static String longestMask(Directive map, String host, boolean atFront) {
        String found = null;
        int longest = 0;
        for (Directive entry : map.block()) {
            String mask = entry.name().toLowerCase(Locale.ROOT);
            boolean matches = atFront ? matchesFrontMask(mask, host) : matchesEndMask(mask, host);
            if (matches && mask.length() > longest) {
                longest = mask.length();
                found = entry.arg(0);
            }
        }
        return found;
    }

    private static boolean matchesFrontMask(String mask, String host) {
        if (mask.startsWith("*.")) {
            return host.endsWith(mask.substring(1));
        }
        return mask.startsWith(".") && (host.endsWith(mask) || host.equals(mask.substring(1)));
    }

    private static boolean matchesEndMask(String mask, String host) {
        return mask.endsWith(".*") && host.startsWith(mask.substring(0, mask.length() - 1));
    }

    private String firstPattern(Directive map, String text) {
        for (Directive entry : map.block()) {
            if (!entry.name().startsWith("~")) {
                continue;
            }
            boolean ignoreCase = entry.name().startsWith("~*");
            String regex = entry.name().substring(ignoreCase ? 2 : 1);
            if (patterns.get(regex, ignoreCase).matcher(text).find()) {
                return entry.arg(0);
            }
        }
        return null;
    }
}
