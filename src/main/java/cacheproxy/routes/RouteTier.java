package cacheproxy.routes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The compiled routes that have the same order value. */
final class RouteTier {
    private static final Route[] NONE = {};

    private final Map<String, Route[]> byExactKey = new HashMap<>();
    private final PrefixIndex prefixes;
    private final Route[][] byPrefix;
    private final Route[] patternRoutes;
    /**
     * The prefixes that some patterns require. {@link #patternsByRequiredPrefix} has the indexes of their routes in
     * {@link #patternRoutes}.
     */
    private final PrefixIndex requiredPrefixes;

    private final int[][] patternsByRequiredPrefix;
    /** Indexes in {@link #patternRoutes} of the routes whose patterns require no known prefix. */
    private final int[] patternsWithoutPrefix;

    private final Route[] anyKeyRoutes;

    /** Compiles routes that are sorted by {@link Route#compare}. */
    RouteTier(List<Route> routes) {
        Map<String, List<Route>> listsByPrefix = new HashMap<>();
        List<Route> withPattern = new ArrayList<>();
        List<Route> anyKey = new ArrayList<>();
        for (Route route : routes) {
            RouteConditions conditions = route.conditions();
            if (conditions.exact() != null) {
                byExactKey.merge(conditions.exact(), new Route[] {route}, RouteTier::concat);
            } else if (conditions.prefix() != null) {
                listsByPrefix
                        .computeIfAbsent(conditions.prefix(), absent -> new ArrayList<>())
                        .add(route);
            } else {
                (conditions.patterns().isEmpty() ? anyKey : withPattern).add(route);
            }
        }
        prefixes = new PrefixIndex(listsByPrefix.keySet());
        byPrefix = new Route[prefixes.size()][];
        listsByPrefix.forEach((prefix, list) -> byPrefix[prefixes.indexOf(prefix)] = list.toArray(NONE));
        patternRoutes = withPattern.toArray(NONE);
        anyKeyRoutes = anyKey.toArray(NONE);

        Map<String, List<Integer>> indexesByRequiredPrefix = new HashMap<>();
        for (int i = 0; i < patternRoutes.length; i++) {
            indexesByRequiredPrefix
                    .computeIfAbsent(requiredPrefix(patternRoutes[i]), absent -> new ArrayList<>())
                    .add(i);
        }
        List<Integer> withoutPrefix = indexesByRequiredPrefix.remove("");
        patternsWithoutPrefix = withoutPrefix == null ? new int[0] : toArray(withoutPrefix);
        requiredPrefixes = new PrefixIndex(indexesByRequiredPrefix.keySet());
        patternsByRequiredPrefix = new int[requiredPrefixes.size()][];
        indexesByRequiredPrefix.forEach(
                (prefix, indexes) -> patternsByRequiredPrefix[requiredPrefixes.indexOf(prefix)] = toArray(indexes));
    }

    private static Route[] concat(Route[] routes, Route[] more) {
        Route[] all = Arrays.copyOf(routes, routes.length + more.length);
        System.arraycopy(more, 0, all, routes.length, more.length);
        return all;
    }

    /** Returns the longest prefix that one of the route's patterns requires; empty if none is known. */
    private static String requiredPrefix(Route route) {
        return route.conditions().patterns().stream()
                .map(KeyPattern::requiredPrefix)
                .max(Comparator.comparingInt(String::length))
                .orElse("");
    }

    private static int[] toArray(List<Integer> list) {
        return list.stream().mapToInt(Integer::intValue).toArray();
    }

    /** Returns the first route whose conditions the request meets; null if there is none. Allocates nothing itself. */
    Route find(RouteInput input) {
        String key = input.key();
        Route route = firstMatch(byExactKey.getOrDefault(key, NONE), input);
        for (int i = prefixes.longestPrefixOf(key); route == null && i >= 0; i = prefixes.nextShorter(i)) {
            route = firstMatch(byPrefix[i], input);
        }
        if (route == null && patternRoutes.length > 0) {
            route = firstPatternMatch(input, key);
        }
        return route != null ? route : firstMatch(anyKeyRoutes, input);
    }

    /**
     * Returns the first matching route among those with patterns whose required prefix the key has; null if there is
     * none.
     */
    private Route firstPatternMatch(RouteInput input, String key) {
        int first = patternRoutes.length;
        for (int i = requiredPrefixes.longestPrefixOf(key); i >= 0; i = requiredPrefixes.nextShorter(i)) {
            first = firstMatch(patternsByRequiredPrefix[i], first, input);
        }
        first = firstMatch(patternsWithoutPrefix, first, input);
        return first == patternRoutes.length ? null : patternRoutes[first];
    }

    /**
     * Returns the first of these indexes in {@link #patternRoutes} that is below the limit and whose route matches; the
     * limit if there is none.
     */
    private int firstMatch(int[] indexes, int limit, RouteInput input) {
        for (int index : indexes) {
            if (index >= limit) {
                break;
            }
            if (patternRoutes[index].conditions().matchesBeyondIndex(input)) {
                return index;
            }
        }
        return limit;
    }

    private static Route firstMatch(Route[] routes, RouteInput input) {
        for (Route route : routes) {
            if (route.conditions().matchesBeyondIndex(input)) {
                return route;
            }
        }
        return null;
    }
}
