package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.routes.KeyPattern;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The entries of a {@code map} block. */
record MapTable(Directive map) {
    private static final Set<String> OPTIONS = Set.of("default", "hostnames", "volatile");

    /** Added to the rank of leading wildcards, which are preferred to all trailing wildcards. */
    private static final int LEADING_WILDCARD_RANK = 1000;

    private static final int NO_MATCH = -1;

    /** Returns the entries that compare the whole text. */
    List<Directive> literalEntries() {
        return map.block().stream()
                .filter(entry -> !OPTIONS.contains(entry.name()) && !isRegex(entry))
                .toList();
    }

    /** Returns the entries with a pattern. */
    List<Directive> regexEntries() {
        return map.block().stream().filter(MapTable::isRegex).toList();
    }

    /**
     * Returns the text that a literal entry compares; a backslash marks a text that would be an option or a pattern.
     */
    static String literalText(Directive entry) {
        return entry.name().startsWith("\\") ? entry.name().substring(1) : entry.name();
    }

    /** Returns the value for texts that no entry matches. */
    String defaultValue() {
        Directive entry = map.lastChildNamed("default");
        return entry == null ? "" : entry.arg(0);
    }

    /** Whether any entry matches hosts by a pattern or wildcard. */
    boolean matchesHostsByPattern() {
        return map.block().stream()
                .anyMatch(entry -> isRegex(entry) || entry.name().contains("*"));
    }

    /**
     * Returns the value for a known text: of an equal entry, else of a wildcard, of the first pattern, or the default.
     */
    String lookUp(String text) {
        for (Directive entry : literalEntries()) {
            if (literalText(entry).equalsIgnoreCase(text)) {
                return entry.arg(0);
            }
        }
        String byWildcard =
                map.childrenNamed("hostnames").isEmpty() ? null : lookUpWildcard(text.toLowerCase(Locale.ROOT));
        if (byWildcard != null) {
            return byWildcard;
        }
        for (Directive entry : regexEntries()) {
            RegexTranslation regex = RegexTranslation.ofMapEntry(entry.name());
            if (regex.isSupported() && new KeyPattern(regex.text()).matches(text)) {
                return entry.arg(0);
            }
        }
        return defaultValue();
    }

    private String lookUpWildcard(String host) {
        String found = null;
        int bestRank = NO_MATCH;
        for (Directive entry : map.block()) {
            int rank = entry.name().equals("default")
                    ? NO_MATCH
                    : wildcardRank(entry.name().toLowerCase(Locale.ROOT), host);
            if (rank > bestRank) {
                bestRank = rank;
                found = entry.arg(0);
            }
        }
        return found;
    }

    /**
     * Returns the rank of a wildcard that matches a host; among leading, and among trailing ones, the longest is
     * preferred.
     */
    private static int wildcardRank(String wildcard, String host) {
        boolean matchesEnd =
                wildcard.startsWith("*.") && host.endsWith(wildcard.substring(1)) && host.length() >= wildcard.length();
        boolean matchesDomain =
                wildcard.startsWith(".") && (host.endsWith(wildcard) || host.equals(wildcard.substring(1)));
        if (matchesEnd || matchesDomain) {
            return LEADING_WILDCARD_RANK + wildcard.length();
        }
        boolean matchesBeginning =
                wildcard.endsWith(".*") && host.startsWith(wildcard.substring(0, wildcard.length() - 1));
        return matchesBeginning ? wildcard.length() : NO_MATCH;
    }

    private static boolean isRegex(Directive entry) {
        return entry.name().startsWith("~");
    }
}
