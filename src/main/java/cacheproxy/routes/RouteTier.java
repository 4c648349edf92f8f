package cacheproxy.routes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The compiled routes of one order. */
final class RouteTier {
    private static final Route[] NONE = {};

    private final Map<String, Route[]> byExactKey = new HashMap<>();
    private final PrefixIndex prefixes;
    private final Route[][] byPrefix;
    private final Route[] patternRoutes;
    /** The prefixes that some patterns require, and the indexes of those in {@link #patternRoutes}. */
    private final PrefixIndex requiredPrefixes;

    private final int[][] patternsByRequiredPrefix;
    /** Indexes of the patterns that require no known prefix. */
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

    /** The longest prefix that one of the route's patterns requires; empty if none is known. */
    private static String requiredPrefix(Route route) {
        return route.conditions().patterns().stream()
                .map(KeyPattern::requiredPrefix)
                .max(Comparator.comparingInt(String::length))
                .orElse("");
    }

    private static int[] toArray(List<Integer> list) {
        return list.stream().mapToInt(Integer::intValue).toArray();
    }

    /** The first route whose conditions the request meets; null if there is none. Allocates nothing of its own. */
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

    /** The first match among the patterns whose required prefix the key has. */
    private Route firstPatternMatch(RouteInput input, String key) {
        int first = patternRoutes.length;
        for (int i = requiredPrefixes.longestPrefixOf(key); i >= 0; i = requiredPrefixes.nextShorter(i)) {
            first = firstMatch(patternsByRequiredPrefix[i], first, input);
        }
        first = firstMatch(patternsWithoutPrefix, first, input);
        return first == patternRoutes.length ? null : patternRoutes[first];
    }

    /** The first of these pattern indexes below the limit whose route matches; else the limit. */
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
