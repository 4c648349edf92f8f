package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.List;
import java.util.regex.Matcher;

/** Finds the location of a path in the documented order, one nesting level at a time. */
final class LocationFinder {
    private final PatternCache patterns;

    LocationFinder(PatternCache patterns) {
        this.patterns = patterns;
    }

    /**
     * Returns the location of the request's path; null if there is none, or if the request is answered with a redirect.
     */
    Directive find(List<Directive> level, SimulatedRequest request) {
        List<Directive> locations = locations(level);
        Directive exact = exact(locations, request.path());
        if (exact != null) {
            return exact;
        }
        Directive longest = longestPrefix(locations, request.path());
        boolean wholePathFound = longest != null
                && LocationText.of(longest).text().length() >= request.path().length();
        if (!wholePathFound && redirectsToSlash(locations, request.path())) {
            request.answer(301);
            return null;
        }
        return longest == null ? findRegex(level, request) : findWithin(longest, level, request);
    }

    private static Directive exact(List<Directive> locations, String path) {
        for (Directive location : locations) {
            LocationText text = LocationText.of(location);
            if (text.isExact() && text.text().equals(path)) {
                return location;
            }
        }
        return null;
    }

    private static Directive longestPrefix(List<Directive> locations, String path) {
        Directive longest = null;
        int longestLength = -1;
        for (Directive location : locations) {
            LocationText text = LocationText.of(location);
            if (text.isPrefix() && path.startsWith(text.text()) && text.text().length() > longestLength) {
                longest = location;
                longestLength = text.text().length();
            }
        }
        return longest;
    }

    /** Returns whether the path with a slash appended is a prefix location that passes requests to servers. */
    private static boolean redirectsToSlash(List<Directive> locations, String path) {
        return locations.stream()
                .filter(LocationFinder::passesRequests)
                .map(LocationText::of)
                .anyMatch(text -> text.isPrefix() && text.text().equals(path + "/"));
    }

    /** Returns the location found in the longest prefix of a level, or the pattern that takes precedence over it. */
    private Directive findWithin(Directive prefix, List<Directive> level, SimulatedRequest request) {
        Directive inner = find(prefix.block(), request);
        if (request.isAnswered()) {
            return null;
        }
        if (inner != null && endsSearch(inner)) {
            return inner;
        }
        boolean skipsRegexes = LocationText.of(prefix).endsSearch();
        Directive regex = skipsRegexes ? null : findRegex(level, request);
        if (regex != null) {
            return regex;
        }
        return inner != null ? inner : prefix;
    }

    private Directive findRegex(List<Directive> level, SimulatedRequest request) {
        for (Directive location : locations(level)) {
            LocationText text = LocationText.of(location);
            if (!text.isRegex()) {
                continue;
            }
            Matcher match = patterns.get(text.text(), text.ignoresCase()).matcher(request.path());
            if (match.find()) {
                request.setGroups(match);
                Directive inner = findRegex(location.block(), request);
                return inner != null ? inner : location;
            }
        }
        return null;
    }

    private static List<Directive> locations(List<Directive> level) {
        return level.stream()
                .filter(directive -> directive.name().equals("location") && directive.block() != null)
                .toList();
    }

    private static boolean passesRequests(Directive location) {
        return location.lastChildNamed("proxy_pass") != null || location.lastChildNamed("memcached_pass") != null;
    }

    /**
     * Returns whether a location found in a nested search ends the whole search, because it is an exact path or a
     * pattern.
     */
    private static boolean endsSearch(Directive location) {
        LocationText text = LocationText.of(location);
        return text.isExact() || text.isRegex();
    }
}
