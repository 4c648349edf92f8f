package cacheproxy.routes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds a request's route. First match order: by {@code order}, the lower first; among equals an exact key, then the
 * longest prefix, then patterns, then routes that ask nothing of the key; among equals the file's order. A route whose
 * other conditions don't hold is passed over. Routes that name a host are looked at for that host's requests alone,
 * among those that name none.
 *
 * <p>Compiled once. Exact keys and prefixes are found by hash and by binary search whatever their number, without
 * allocating; patterns and the rest are tried one after another.
 */
public final class RouteTable {
    private final List<Route> sorted;
    private final VirtualHosts hosts;
    /** What each host's requests go through, routes for any host among them. */
    private final Map<String, Tier[]> byHost = new HashMap<>();

    private final Tier[] anyHost;

    public RouteTable(List<Route> routes) {
        this(routes, VirtualHosts.NONE);
    }

    public RouteTable(List<Route> routes, VirtualHosts hosts) {
        this.hosts = hosts;
        sorted = routes.stream().sorted(Route::compare).toList();
        Map<String, List<Route>> split = new HashMap<>();
        List<Route> common = new ArrayList<>();
        for (Route r : sorted) {
            (r.host() == null ? common : split.computeIfAbsent(r.host(), h -> new ArrayList<>())).add(r);
        }
        anyHost = tiers(common);
        split.forEach((host, own) -> {
            own.addAll(common);
            own.sort(Route::compare);
            byHost.put(host, tiers(own));
        });
    }

    private static Tier[] tiers(List<Route> routes) {
        List<Tier> list = new ArrayList<>();
        for (int from = 0, to; from < routes.size(); from = to) {
            to = from + 1;
            while (to < routes.size()
                    && routes.get(to).order() == routes.get(from).order()) {
                to++;
            }
            list.add(new Tier(routes.subList(from, to)));
        }
        return list.toArray(new Tier[0]);
    }

    /** In the order in which they are looked at. */
    public List<Route> routes() {
        return sorted;
    }

    public VirtualHosts hosts() {
        return hosts;
    }

    /** The first route that fits; null if none does. */
    public Route find(RouteInput s) {
        String host = byHost.isEmpty() ? null : hosts.find(s.listener(), s.host());
        for (Tier t : host == null ? anyHost : byHost.getOrDefault(host, anyHost)) {
            Route r = t.find(s);
            if (r != null) {
                return r;
            }
        }
        return null;
    }

    /** A route passed over, with the condition that was not met. */
    public record Passed(Route route, String why) {}

    /** Those looked at before the one that is found, for operators: tries all in order. */
    public List<Passed> passedOver(RouteInput s) {
        List<Passed> passed = new ArrayList<>();
        String host = hosts.find(s.listener(), s.host());
        for (Route r : sorted) {
            String why = r.misfit(s, host);
            if (why == null) {
                break;
            }
            if (r.host() == null || r.host().equals(host)) { // other hosts' routes are not looked at
                passed.add(new Passed(r, why));
            }
        }
        return passed;
    }

    /** A route that no request can reach, and the one that takes all of its requests before. */
    public record Shadowed(Route route, Route by) {}

    /** Earlier routes of one host by the condition that makes them comparable. */
    private static final class Before {
        final Map<String, List<Route>> exact = new HashMap<>();
        final Map<String, List<Route>> prefix = new HashMap<>();
        final Map<String, List<Route>> pattern = new HashMap<>();
        final List<Route> patterns = new ArrayList<>();
        final List<Route> any = new ArrayList<>();

        /**
         * A route is covered by one with no condition on keys, or by one whose prefix, exact key or pattern is found
         * from its own: this does not grow with the square of the routes.
         */
        Route covering(Route r) {
            Route by = first(any, r);
            String text = r.exact() != null ? r.exact() : r.prefix();
            for (int n = 0; by == null && text != null && n <= text.length(); n++) {
                by = first(prefix.getOrDefault(text.substring(0, n), List.of()), r);
            }
            if (by == null && r.exact() != null) {
                by = first(exact.getOrDefault(r.exact(), List.of()), r);
                by = by != null ? by : first(patterns, r);
            }
            for (int i = 0; by == null && i < r.patterns().size(); i++) {
                by = first(pattern.getOrDefault(r.patterns().get(i).text(), List.of()), r);
            }
            return by;
        }

        void add(Route r) {
            if (r.exact() != null) {
                exact.computeIfAbsent(r.exact(), k -> new ArrayList<>()).add(r);
            } else if (r.prefix() != null) {
                prefix.computeIfAbsent(r.prefix(), k -> new ArrayList<>()).add(r);
            } else if (!r.patterns().isEmpty()) {
                pattern.computeIfAbsent(r.patterns().get(0).text(), k -> new ArrayList<>())
                        .add(r);
                patterns.add(r);
            } else {
                any.add(r);
            }
        }
    }

    /** Routes that another one, alone, leaves nothing for. */
    public List<Shadowed> shadowed() {
        List<Shadowed> found = new ArrayList<>();
        Map<String, Before> own = new HashMap<>();
        Before common = new Before();
        for (Route r : sorted) {
            Before before = r.host() == null ? common : own.computeIfAbsent(r.host(), h -> new Before());
            Route by = common.covering(r);
            by = by != null || before == common ? by : before.covering(r);
            if (by != null) {
                found.add(new Shadowed(r, by));
            }
            before.add(r);
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
        private static final Route[] NONE = {};
        private final Map<String, Route[]> exact = new HashMap<>();
        private final PrefixIndex prefixes;
        /** The routes of each prefix. */
        private final Route[][] prefixRoutes;

        private final Route[] patterns;
        /** What keys must begin with for some patterns, and the places of those in {@link #patterns}. */
        private final PrefixIndex literals;

        private final int[][] literalPatterns;
        /** Places of the patterns that tell nothing of a key's beginning. */
        private final int[] loose;

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
                    (r.patterns().isEmpty() ? others : regex).add(r);
                }
            }
            prefixes = new PrefixIndex(byPrefix.keySet());
            prefixRoutes = new Route[prefixes.size()][];
            byPrefix.forEach((text, list) -> prefixRoutes[prefixes.indexOf(text)] = list.toArray(NONE));
            patterns = regex.toArray(NONE);
            Map<String, List<Integer>> byLiteral = new HashMap<>();
            List<Integer> without = new ArrayList<>();
            for (int i = 0; i < patterns.length; i++) {
                String literal = patterns[i].patterns().stream()
                        .map(KeyPattern::literal)
                        .max(java.util.Comparator.comparingInt(String::length))
                        .orElse("");
                (literal.isEmpty() ? without : byLiteral.computeIfAbsent(literal, l -> new ArrayList<>())).add(i);
            }
            literals = new PrefixIndex(byLiteral.keySet());
            literalPatterns = new int[literals.size()][];
            byLiteral.forEach((text, list) -> literalPatterns[literals.indexOf(text)] = ints(list));
            loose = ints(without);
            rest = others.toArray(NONE);
        }

        Route find(RouteInput s) {
            String key = s.key();
            Route r = fitting(exact.getOrDefault(key, NONE), s);
            for (int i = prefixes.longest(key); r == null && i >= 0; i = prefixes.shorter(i)) {
                r = fitting(prefixRoutes[i], s);
            }
            r = r != null || patterns.length == 0 ? r : pattern(s, key);
            return r != null ? r : fitting(rest, s);
        }

        /** The first pattern that fits, looking only at those whose literal beginning the key has. */
        private Route pattern(RouteInput s, String key) {
            int best = patterns.length;
            for (int l = literals.longest(key); l >= 0; l = literals.shorter(l)) {
                best = first(literalPatterns[l], best, s);
            }
            best = first(loose, best, s);
            return best == patterns.length ? null : patterns[best];
        }

        /** The first of these places, before {@code best}, whose route fits; else {@code best}. */
        private int first(int[] places, int best, RouteInput s) {
            for (int p : places) {
                if (p >= best) {
                    break;
                }
                if (patterns[p].fits(s)) {
                    return p;
                }
            }
            return best;
        }

        private static int[] ints(List<Integer> list) {
            return list.stream().mapToInt(Integer::intValue).toArray();
        }

        private static Route fitting(Route[] routes, RouteInput s) {
            for (Route r : routes) {
                if (r.fits(s)) {
                    return r;
                }
            }
            return null;
        }
    }
}
