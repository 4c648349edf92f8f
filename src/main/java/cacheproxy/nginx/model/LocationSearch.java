package cacheproxy.nginx.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * nginx's search for a location as a list of steps. The first step whose conditions hold for a path determines its
 * location.
 *
 * <p>On each level, nginx first searches the longest matching prefix and the locations nested in it; then, unless that
 * prefix has {@code ^~}, it tries the level's patterns in order. A match of an exact path ends the search at once.
 */
public final class LocationSearch {
    /** Groups of steps, in the order in which they are tried. */
    public enum Tier {
        /**
         * Exact paths, and prefixes with a search of their own. If several prefixes match a path, the longest decides.
         */
        OWN_SEARCH,
        /** Patterns on the server's level, in order. */
        PATTERNS,
        /** Prefixes that are tried after the patterns of {@link #PATTERNS}, the longest first. */
        PLAIN_PREFIXES
    }

    /**
     * A step of the search.
     *
     * @param exact the whole path; null if the step is not for an exact path
     * @param prefix the beginning of the path; null if the step is not for a prefix
     * @param regexes locations whose patterns must all match; empty if no pattern is required
     * @param location the location of the path if all of these conditions hold
     * @param redirect whether nginx answers with a redirect to the path with a slash appended
     */
    public record Step(
            Tier tier, String exact, String prefix, List<Location> regexes, Location location, boolean redirect) {}

    /** Locations with patterns that must all match, each nested in the one before it. */
    private record RegexChain(List<Location> regexes) {
        Location innermost() {
            return regexes.get(regexes.size() - 1);
        }
    }

    /**
     * A prefix location.
     *
     * @param chainsBefore the patterns that are tried first for paths of which it is the longest prefix
     * @param plain whether those are only the patterns on the server's level
     */
    private record Prefix(Location location, List<RegexChain> chainsBefore, boolean plain) {
        String text() {
            return location.text();
        }
    }

    private final Predicate<Location> passesRequests;
    private final List<Step> steps = new ArrayList<>();
    private final List<Location> unreachable = new ArrayList<>();
    private final List<Prefix> prefixes = new ArrayList<>();
    private final Set<String> exactPaths = new HashSet<>();

    /**
     * Builds the steps of a server.
     *
     * @param serverLevel the server's own locations
     * @param passesRequests returns whether a location passes requests to servers
     */
    public LocationSearch(List<Location> serverLevel, Predicate<Location> passesRequests) {
        this.passesRequests = passesRequests;
        addLevel(serverLevel, List.of(), List.of());
        addPrefixSteps();
        for (RegexChain chain : regexChains(serverLevel)) {
            steps.add(new Step(Tier.PATTERNS, null, null, chain.regexes, chain.innermost(), false));
        }
    }

    /** Returns the steps; within each tier they are in the order of the search. */
    public List<Step> steps() {
        return Collections.unmodifiableList(steps);
    }

    /** Returns the locations that no request reaches. */
    public List<Location> unreachable() {
        return Collections.unmodifiableList(unreachable);
    }

    private void addPrefixSteps() {
        Set<String> ownSearches = new HashSet<>();
        prefixes.stream().filter(prefix -> !prefix.plain).forEach(prefix -> ownSearches.add(prefix.text()));
        // If two locations have the same text, nginx searches the inner one after the outer one and selects it.
        prefixes.sort(Comparator.comparingInt((Prefix prefix) -> prefix.text().length())
                .thenComparingInt(prefix -> prefix.location.depth())
                .reversed());
        for (Prefix prefix : prefixes) {
            // In the last tier, a plain prefix would be hidden by a shorter prefix that has its own search.
            if (!prefix.plain || extendsAny(prefix.text(), ownSearches)) {
                for (RegexChain chain : prefix.chainsBefore) {
                    steps.add(new Step(Tier.OWN_SEARCH, null, prefix.text(), chain.regexes, chain.innermost(), false));
                }
                steps.add(new Step(Tier.OWN_SEARCH, null, prefix.text(), List.of(), prefix.location, false));
            } else {
                steps.add(new Step(Tier.PLAIN_PREFIXES, null, prefix.text(), List.of(), prefix.location, false));
            }
        }
    }

    private static boolean extendsAny(String text, Set<String> prefixes) {
        for (int length = 0; length < text.length(); length++) {
            if (prefixes.contains(text.substring(0, length))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the chains of a level's patterns in the order of the search: nested patterns before the enclosing one.
     */
    private static List<RegexChain> regexChains(List<Location> level) {
        List<RegexChain> chains = new ArrayList<>();
        for (Location location : level) {
            if (!location.kind().isRegex()) {
                continue;
            }
            for (RegexChain inner : regexChains(location.children())) {
                List<Location> regexes = new ArrayList<>(List.of(location));
                regexes.addAll(inner.regexes);
                chains.add(new RegexChain(regexes));
            }
            chains.add(new RegexChain(List.of(location)));
        }
        return chains;
    }

    /**
     * Adds the exact paths and prefixes of a level and of the levels nested in it.
     *
     * @param outerChains patterns of the enclosing levels, which are tried after those of this level
     * @param longerOuterPrefixes for each enclosing level, the longer prefixes that nginx would select instead of the
     *     location that contains this level
     */
    private void addLevel(List<Location> level, List<RegexChain> outerChains, List<Set<String>> longerOuterPrefixes) {
        List<Location> reachable = new ArrayList<>();
        for (Location location : level) {
            if (location.kind().isPrefix() || location.kind() == Location.Kind.EXACT) {
                addExactOrCollect(location, longerOuterPrefixes, reachable);
            }
        }
        Set<String> levelTexts = texts(level, true);
        reachable.forEach(location -> addRedirect(location, levelTexts, longerOuterPrefixes));
        List<RegexChain> levelChains = regexChains(level);
        Set<String> levelPrefixes = texts(level, false);
        for (Location location : reachable) {
            List<RegexChain> chains = new ArrayList<>();
            if (location.kind() != Location.Kind.PREFIX_WITHOUT_REGEX) {
                chains.addAll(levelChains);
            }
            chains.addAll(outerChains); // ^~ skips only the patterns of its own level
            addPrefix(location, chains);
            if (!location.children().isEmpty()) {
                List<Set<String>> longerPrefixes = new ArrayList<>(longerOuterPrefixes);
                longerPrefixes.add(extensions(levelPrefixes, location.text()));
                addLevel(location.children(), chains, longerPrefixes);
            }
        }
    }

    /** Returns the texts of the level's prefixes and, if {@code withExact} is true, of its exact paths. */
    private static Set<String> texts(List<Location> level, boolean withExact) {
        Set<String> texts = new HashSet<>();
        for (Location location : level) {
            if (location.kind().isPrefix() || (withExact && location.kind() == Location.Kind.EXACT)) {
                texts.add(location.text());
            }
        }
        return texts;
    }

    private void addExactOrCollect(
            Location location, List<Set<String>> longerOuterPrefixes, List<Location> reachablePrefixes) {
        if (isHidden(location.text(), longerOuterPrefixes)) {
            unreachable.add(location);
        } else if (location.kind().isPrefix()) {
            reachablePrefixes.add(location);
        } else if (exactPaths.add(location.text())) { // outer levels are added first, as nginx searches them first
            steps.add(new Step(Tier.OWN_SEARCH, location.text(), null, List.of(), location, false));
        } else {
            unreachable.add(location);
        }
    }

    private void addPrefix(Location location, List<RegexChain> laterChains) {
        List<RegexChain> chainsBefore = new ArrayList<>(regexChains(location.children()));
        boolean plain = location.parent() == null && location.kind() == Location.Kind.PREFIX && chainsBefore.isEmpty();
        chainsBefore.addAll(laterChains);
        prefixes.add(new Prefix(location, chainsBefore, plain));
    }

    private static Set<String> extensions(Set<String> texts, String prefix) {
        Set<String> longer = new HashSet<>();
        texts.stream()
                .filter(text -> text.length() > prefix.length() && text.startsWith(prefix))
                .forEach(longer::add);
        return longer;
    }

    /** Whether an enclosing level has a longer prefix of this text, which nginx would select instead. */
    private static boolean isHidden(String text, List<Set<String>> longerOuterPrefixes) {
        for (Set<String> prefixes : longerOuterPrefixes) {
            for (int length = 1; !prefixes.isEmpty() && length <= text.length(); length++) {
                if (prefixes.contains(text.substring(0, length))) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * If a prefix ends with a slash and passes requests to servers, adds the redirect of the path without that slash.
     */
    private void addRedirect(Location location, Set<String> levelTexts, List<Set<String>> longerOuterPrefixes) {
        if (!location.text().endsWith("/") || location.text().length() < 2 || !passesRequests.test(location)) {
            return;
        }
        String path = location.text().substring(0, location.text().length() - 1);
        boolean insideParent =
                location.parent() == null || path.startsWith(location.parent().text());
        boolean searched = insideParent && !isHidden(path, longerOuterPrefixes);
        if (searched && !levelTexts.contains(path) && exactPaths.add(path)) {
            steps.add(new Step(Tier.OWN_SEARCH, path, null, List.of(), location, true));
        }
    }
}
