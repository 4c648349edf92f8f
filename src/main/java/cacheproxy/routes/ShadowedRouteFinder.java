package cacheproxy.routes;

import cacheproxy.routes.RouteTable.ShadowedRoute;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds routes that an earlier one shadows, in a time that does not grow with the square of their number. Earlier
 * routes are indexed by their condition on the key, so that a route is compared only with those that have no such
 * condition and with those whose prefix, exact key or pattern can be looked up from its own.
 */
final class ShadowedRouteFinder {
    /** The earlier routes that name one host, or those that name none. */
    private static final class EarlierRoutes {
        private final Map<String, List<Route>> byExactKey = new HashMap<>();
        private final Map<String, List<Route>> byPrefix = new HashMap<>();
        private final Map<String, List<Route>> byFirstPattern = new HashMap<>();
        private final List<Route> withPattern = new ArrayList<>();
        private final List<Route> anyKey = new ArrayList<>();

        void add(Route route) {
            RouteConditions conditions = route.conditions();
            if (conditions.exact() != null) {
                add(byExactKey, conditions.exact(), route);
            } else if (conditions.prefix() != null) {
                add(byPrefix, conditions.prefix(), route);
            } else if (!conditions.patterns().isEmpty()) {
                add(byFirstPattern, conditions.patterns().get(0).text(), route);
                withPattern.add(route);
            } else {
                anyKey.add(route);
            }
        }

        private static void add(Map<String, List<Route>> index, String text, Route route) {
            index.computeIfAbsent(text, absent -> new ArrayList<>()).add(route);
        }

        /** Returns an earlier route that covers this one; null if there is none. */
        Route covering(Route route) {
            RouteConditions conditions = route.conditions();
            Route covering = firstCovering(anyKey, route);
            String start = conditions.exact() != null ? conditions.exact() : conditions.prefix();
            for (int length = 0; covering == null && start != null && length <= start.length(); length++) {
                covering = firstCovering(byPrefix.get(start.substring(0, length)), route);
            }
            if (covering == null && conditions.exact() != null) {
                covering = firstCovering(byExactKey.get(conditions.exact()), route);
                covering = covering != null ? covering : firstCovering(withPattern, route);
            }
            for (int i = 0; covering == null && i < conditions.patterns().size(); i++) {
                covering = firstCovering(
                        byFirstPattern.get(conditions.patterns().get(i).text()), route);
            }
            return covering;
        }

        private static Route firstCovering(List<Route> earlier, Route route) {
            if (earlier == null) {
                return null;
            }
            for (Route candidate : earlier) {
                if (candidate.conditions().covers(route.conditions())) {
                    return candidate;
                }
            }
            return null;
        }
    }

    private ShadowedRouteFinder() {}

    /** Finds the shadowed routes in a list that is sorted by {@link Route#compare}. */
    static List<ShadowedRoute> find(List<Route> sortedRoutes) {
        List<ShadowedRoute> found = new ArrayList<>();
        Map<String, EarlierRoutes> earlierByHost = new HashMap<>();
        EarlierRoutes earlierForAnyHost = new EarlierRoutes();
        for (Route route : sortedRoutes) {
            String host = route.conditions().host();
            EarlierRoutes earlier = host == null
                    ? earlierForAnyHost
                    : earlierByHost.computeIfAbsent(host, absent -> new EarlierRoutes());
            Route covering = earlierForAnyHost.covering(route);
            if (covering == null && host != null) {
                covering = earlier.covering(route);
            }
            if (covering != null) {
                found.add(new ShadowedRoute(route, covering));
            }
            earlier.add(route);
        }
        return found;
    }
}
