package cacheproxy.nginx.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * nginx's search for a location as a list of steps, of which the first whose conditions hold for a path decides.
 *
 * <p>nginx searches the longest prefix of a level first, with all that is nested in it; then, unless that prefix is
 * {@code ^~}, the level's patterns in order. An exact path ends the search at once.
 */
public final class LocationSearch {
    /** Groups of steps, in the order in which they are tried. */
    public enum Tier {
        /** Exact paths, and prefixes with a search of their own. Of the prefixes of a path the longest decides. */
        OWN_SEARCH,
        /** Patterns of the server's level, in order. */
        PATTERNS,
        /** Prefixes that are tried after those patterns, the longest first. */
        PLAIN_PREFIXES
    }

    /**
     * A step of the search.
     *
     * @param exact the whole path; null for other steps
     * @param prefix the beginning of the path; null for other steps
     * @param regexes locations whose patterns must all match; empty if none
     * @param location where the path goes if all of this holds
     * @param redirect whether nginx answers with a redirect to the path with a slash appended
     */
    public record Step(
            Tier tier, String exact, String prefix, List<Location> regexes, Location location, boolean redirect) {}

    /** Pattern locations, each nested in the one before it, that must all match. */
    private record RegexChain(List<Location> regexes) {
        Location innermost() {
            return regexes.get(regexes.size() - 1);
        }
    }

    /**
     * A prefix location.
     *
     * @param chainsBefore what is tried before it for paths of which it is the longest prefix
     * @param plain whether that is just the patterns of the server's level
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
     * @param passesRequests tells which locations pass requests to servers
     */
    public LocationSearch(List<Location> serverLevel, Predicate<Location> passesRequests) {
        this.passesRequests = passesRequests;
        addLevel(serverLevel, List.of(), List.of());
        addPrefixSteps();
        for (RegexChain chain : regexChains(serverLevel)) {
            steps.add(new Step(Tier.PATTERNS, null, null, chain.regexes, chain.innermost(), false));
        }
    }

    /** The steps; within each tier they are in the order of the search. */
    public List<Step> steps() {
        return Collections.unmodifiableList(steps);
    }

    /** Locations that no request reaches. */
    public List<Location> unreachable() {
        return Collections.unmodifiableList(unreachable);
    }

    private void addPrefixSteps() {
        Set<String> ownSearches = new HashSet<>();
        prefixes.stream().filter(prefix -> !prefix.plain).forEach(prefix -> ownSearches.add(prefix.text()));
        // Of equal texts the inner location is searched after the outer one, and found.
        prefixes.sort(Comparator.comparingInt((Prefix prefix) -> prefix.text().length())
                .thenComparingInt(prefix -> prefix.location.depth())
                .reversed());
        for (Prefix prefix : prefixes) {
            // A plain prefix that extends one with its own search would be hidden by that one.
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

    /** The chains of a level's patterns in the order of the search: nested ones before the one around them. */
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
     * Adds the exact paths and prefixes of a level and of those nested in it.
     *
     * @param outerChains patterns of the levels around it that are tried after its own
     * @param longerOuterPrefixes for each level around it, the prefixes that would be found instead of this level
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
            chains.addAll(outerChains); // a prefix rules out the patterns of its own level only
            addPrefix(location, chains);
            if (!location.children().isEmpty()) {
                List<Set<String>> longerPrefixes = new ArrayList<>(longerOuterPrefixes);
                longerPrefixes.add(extensions(levelPrefixes, location.text()));
                addLevel(location.children(), chains, longerPrefixes);
            }
        }
    }

    /** Texts of the level's prefixes, and of its exact paths if they are asked for. */
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
        } else if (exactPaths.add(location.text())) { // outer levels come first, as in the search
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

    /** Whether a level around has a longer prefix of this text, which would be found instead. */
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

    /** Adds the redirect of a path without the final slash to a prefix with it that passes requests to servers. */
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
