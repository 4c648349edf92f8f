package cacheproxy.nginx.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * nginx's search for a location as a list of steps: for the keys of a step the first one whose conditions hold is the
 * one. A level's longest prefix is searched first, with all that is nested in it; then, unless that prefix is
 * {@code ^~}, the level's patterns in order; an exact path ends the search at once.
 */
public final class LocationSearch {
    /** Where steps stand to each other. */
    public enum Tier {
        /** Exact paths, and prefixes with a search of their own. Of a key's prefixes the longest counts. */
        OWN,
        /** Patterns of the server's level, in order. */
        PATTERNS,
        /** Prefixes that are looked at after those patterns, the longest first. */
        PREFIXES
    }

    /**
     * A step.
     *
     * @param exact the path; null for others
     * @param prefix the paths' beginning; null for others
     * @param regexes locations whose patterns must all be found
     * @param redirect whether nginx answers with a redirect to the path with a slash behind it
     */
    public record Step(
            Tier tier, String exact, String prefix, List<Location> regexes, Location location, boolean redirect) {}

    private final List<Step> steps = new ArrayList<>();
    private final List<Location> unreachable = new ArrayList<>();

    /** A prefix with what is to be tried for its keys before it. */
    private record Prefix(Location location, List<List<Location>> before, boolean plain) {}

    private final List<Prefix> prefixes = new ArrayList<>();
    private final Set<String> exact = new HashSet<>();

    /** Over a server's locations; {@code passes} tells those that hand requests on to servers. */
    public LocationSearch(List<Location> level, Predicate<Location> passes) {
        level(level, List.of(), passes, List.of());
        // A plain prefix below one with its own search would be hidden by that one.
        Set<String> own = new HashSet<>();
        prefixes.stream().filter(p -> !p.plain).forEach(p -> own.add(p.location.text));
        // Of equal ones the inner is searched after the outer, and found.
        prefixes.sort(Comparator.comparingInt((Prefix p) -> p.location.text.length())
                .thenComparingInt(p -> depth(p.location))
                .reversed());
        for (Prefix p : prefixes) {
            boolean ownSearch = !p.plain;
            for (int n = 0; !ownSearch && n < p.location.text.length(); n++) {
                ownSearch = own.contains(p.location.text.substring(0, n));
            }
            Tier tier = ownSearch ? Tier.OWN : Tier.PREFIXES;
            for (List<Location> regexes : ownSearch ? p.before : List.<List<Location>>of()) {
                steps.add(new Step(tier, null, p.location.text, regexes, regexes.get(regexes.size() - 1), false));
            }
            steps.add(new Step(tier, null, p.location.text, List.of(), p.location, false));
        }
        for (List<Location> regexes : expanded(level)) {
            steps.add(new Step(Tier.PATTERNS, null, null, regexes, regexes.get(regexes.size() - 1), false));
        }
    }

    private static int depth(Location l) {
        int depth = 0;
        for (Location p = l.parent; p != null; p = p.parent) {
            depth++;
        }
        return depth;
    }

    /** In order within each tier. */
    public List<Step> steps() {
        return steps;
    }

    /** Locations that no request reaches. */
    public List<Location> unreachable() {
        return unreachable;
    }

    /** A level's patterns with those nested in them before them, as chains that must match as a whole. */
    private static List<List<Location>> expanded(List<Location> level) {
        List<List<Location>> all = new ArrayList<>();
        for (Location r : level) {
            if (!r.kind.isRegex()) {
                continue;
            }
            for (List<Location> inner : expanded(r.children)) {
                List<Location> chain = new ArrayList<>(List.of(r));
                chain.addAll(inner);
                all.add(chain);
            }
            all.add(List.of(r));
        }
        return all;
    }

    /**
     * @param after the outer levels' patterns that follow a level's own, for a key whose longest prefix is in this
     *     level
     * @param hiding prefixes of outer levels: what begins with one is not searched here
     */
    private void level(
            List<Location> level, List<List<Location>> after, Predicate<Location> passes, List<Set<String>> hiding) {
        Set<String> prefixTexts = new HashSet<>();
        Set<String> texts = new HashSet<>();
        List<Location> reached = new ArrayList<>();
        for (Location l : level) {
            if (!l.kind.isPrefix() && l.kind != Location.Kind.EXACT) {
                continue;
            }
            texts.add(l.text);
            if (l.kind.isPrefix()) {
                prefixTexts.add(l.text);
            }
            if (hidden(l.text, hiding)) {
                unreachable.add(l);
            } else if (l.kind.isPrefix()) {
                reached.add(l);
            } else if (exact.add(l.text)) { // outer levels come first, as in the search
                steps.add(new Step(Tier.OWN, l.text, null, List.of(), l, false));
            } else {
                unreachable.add(l);
            }
        }
        reached.forEach(l -> redirect(l, texts, passes, hiding));
        List<List<Location>> own = expanded(level);
        for (Location l : reached) {
            List<List<Location>> search = new ArrayList<>();
            if (l.kind != Location.Kind.PREFIX_ALONE) {
                search.addAll(own);
            }
            search.addAll(after); // each level asks its own prefix alone whether its patterns count
            List<List<Location>> nested = expanded(l.children);
            boolean plain = l.parent == null && l.kind == Location.Kind.PREFIX && nested.isEmpty();
            List<List<Location>> before = new ArrayList<>(nested);
            before.addAll(search);
            prefixes.add(new Prefix(l, before, plain));
            if (!l.children.isEmpty()) {
                List<Set<String>> inner = new ArrayList<>(hiding);
                inner.add(longer(prefixTexts, l.text));
                level(l.children, search, passes, inner);
            }
        }
    }

    private static Set<String> longer(Set<String> texts, String than) {
        Set<String> longer = new HashSet<>();
        texts.stream()
                .filter(t -> t.length() > than.length() && t.startsWith(than))
                .forEach(longer::add);
        return longer;
    }

    /** Whether an outer level has a longer prefix for what begins with this text. */
    private static boolean hidden(String text, List<Set<String>> hiding) {
        for (Set<String> longer : hiding) {
            for (int n = 1; !longer.isEmpty() && n <= text.length(); n++) {
                if (longer.contains(text.substring(0, n))) {
                    return true;
                }
            }
        }
        return false;
    }

    /** A prefix with a slash behind it that passes requests on: nginx redirects its path without the slash. */
    private void redirect(Location l, Set<String> level, Predicate<Location> passes, List<Set<String>> hiding) {
        if (!l.text.endsWith("/") || l.text.length() < 2 || !passes.test(l)) {
            return;
        }
        String path = l.text.substring(0, l.text.length() - 1);
        boolean searched = (l.parent == null || path.startsWith(l.parent.text)) && !hidden(path, hiding);
        if (searched && !level.contains(path) && exact.add(path)) {
            steps.add(new Step(Tier.OWN, path, null, List.of(), l, true));
        }
    }
}
