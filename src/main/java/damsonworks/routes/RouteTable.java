package damsonworks.routes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds a request's route. First match order: by {@code order}, the lower first; among equals an exact key, then the
 * longest prefix, then patterns, then routes that ask nothing of the key; among equals the file's order. A route
 * whose other conditions don't hold is passed over.
 *
 * <p>Compiled once. Exact keys and prefixes are found by hash and by binary search whatever their number, without
 * allocating; patterns and the rest are tried one after another.
 */
public final class RouteTable {
    private final List<Route> sorted;
    private final Tier[] tiers;

    public RouteTable(List<Route> routes) {
        sorted = routes.stream().sorted(Route::compare).toList();
        List<Tier> list = new ArrayList<>();
        for (int from = 0, to; from < sorted.size(); from = to) {
            to = from + 1;
            while (to < sorted.size() && sorted.get(to).order() == sorted.get(from).order()) {
                to++;
            }
            list.add(new Tier(sorted.subList(from, to)));
        }
        tiers = list.toArray(new Tier[0]);
    }

    /** In the order in which they are looked at. */
    public List<Route> routes() {
        return sorted;
    }

    /** The first route that fits; null if none does. */
    public Route find(Subject s) {
        for (Tier t : tiers) {
            Route r = t.find(s);
            if (r != null) {
                return r;
            }
        }
        return null;
    }

    /** A route passed over, with the condition that was not met. */
    public record Passed(Route route, String why) { }

    /** Those looked at before the one that is found, for operators: tries all in order. */
    public List<Passed> passedOver(Subject s) {
        List<Passed> passed = new ArrayList<>();
        for (Route r : sorted) {
            String why = r.misfit(s);
            if (why == null) {
                break;
            }
            passed.add(new Passed(r, why));
        }
        return passed;
    }

    /** A route that no request can reach, and the one that takes all of its requests before. */
    public record Shadowed(Route route, Route by) { }

    /** Routes that another one, alone, leaves nothing for. */
    public List<Shadowed> shadowed() {
        List<Shadowed> found = new ArrayList<>();
        // Compared by the key's condition: a route is covered by one with no such condition, or by one whose prefix,
        // exact key or pattern is found from its own, so this does not grow with the square of the routes.
        Map<String, List<Route>> exact = new HashMap<>();
        Map<String, List<Route>> prefix = new HashMap<>();
        Map<String, List<Route>> pattern = new HashMap<>();
        List<Route> patterns = new ArrayList<>();
        List<Route> any = new ArrayList<>();
        for (Route r : sorted) {
            Route by = first(any, r);
            String text = r.exact() != null ? r.exact() : r.prefix();
            for (int n = 0; by == null && text != null && n <= text.length(); n++) {
                by = first(prefix.getOrDefault(text.substring(0, n), List.of()), r);
            }
            if (by == null && r.exact() != null) {
                by = first(exact.getOrDefault(r.exact(), List.of()), r);
                by = by != null ? by : first(patterns, r);
            }
            if (by == null && r.pattern() != null) {
                by = first(pattern.getOrDefault(r.pattern().text(), List.of()), r);
            }
            if (by != null) {
                found.add(new Shadowed(r, by));
            }
            if (r.exact() != null) {
                exact.computeIfAbsent(r.exact(), k -> new ArrayList<>()).add(r);
            } else if (r.prefix() != null) {
                prefix.computeIfAbsent(r.prefix(), k -> new ArrayList<>()).add(r);
            } else if (r.pattern() != null) {
                pattern.computeIfAbsent(r.pattern().text(), k -> new ArrayList<>()).add(r);
                patterns.add(r);
            } else {
                any.add(r);
            }
        }
        return found;
    }

    private static Route first(List<Route> before, Route r) {
        for (Route b : before) {
            if (b.covers(r)) {
                return b;
            }
        }
        return null;
    }

    /** The routes of one order. */
    private static final class Tier {
        private static final Route[] NONE = { };
        private final Map<String, Route[]> exact = new HashMap<>();
        private final String[] prefixes;
        /** The routes of each prefix. */
        private final Route[][] prefixRoutes;
        /** For each prefix, the longest other one that it begins with; -1: none. */
        private final int[] parent;
        private final Route[] patterns;
        private final Route[] rest;

        Tier(List<Route> routes) {
            Map<String, List<Route>> byPrefix = new HashMap<>();
            List<Route> regex = new ArrayList<>();
            List<Route> others = new ArrayList<>();
            for (Route r : routes) {
                if (r.exact() != null) {
                    Route[] same = exact.getOrDefault(r.exact(), NONE);
                    same = Arrays.copyOf(same, same.length + 1);
                    same[same.length - 1] = r;
                    exact.put(r.exact(), same);
                } else if (r.prefix() != null) {
                    byPrefix.computeIfAbsent(r.prefix(), p -> new ArrayList<>()).add(r);
                } else {
                    (r.pattern() != null ? regex : others).add(r);
                }
            }
            prefixes = byPrefix.keySet().stream().sorted().toArray(String[]::new);
            prefixRoutes = new Route[prefixes.length][];
            parent = new int[prefixes.length];
            for (int i = 0; i < prefixes.length; i++) {
                prefixRoutes[i] = byPrefix.get(prefixes[i]).toArray(NONE);
                int p = i - 1;
                while (p >= 0 && !prefixes[i].startsWith(prefixes[p])) {
                    p = parent[p];
                }
                parent[i] = p;
            }
            patterns = regex.toArray(NONE);
            rest = others.toArray(NONE);
        }

        Route find(Subject s) {
            String key = s.key();
            Route r = fitting(exact.getOrDefault(key, NONE), s);
            // All prefixes of the key are the last one that sorts no later than it, or among those that one begins
            // with: what sorts between a prefix of the key and the key begins with that prefix, too.
            for (int i = prefixes.length == 0 ? -1 : floor(key); r == null && i >= 0; i = parent[i]) {
                if (key.startsWith(prefixes[i])) {
                    r = fitting(prefixRoutes[i], s);
                }
            }
            for (int i = 0; r == null && i < patterns.length; i++) {
                if (patterns[i].fits(s) && patterns[i].pattern().matches(key)) {
                    r = patterns[i];
                }
            }
            return r != null ? r : fitting(rest, s);
        }

        private int floor(String key) {
            int at = Arrays.binarySearch(prefixes, key);
            return at >= 0 ? at : -at - 2;
        }

        private static Route fitting(Route[] routes, Subject s) {
            for (Route r : routes) {
                if (r.fits(s)) {
                    return r;
                }
            }
            return null;
        }
    }
}
