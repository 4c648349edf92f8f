package cacheproxy.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the route of a request: the first one whose conditions the request meets. Routes are tried by {@code order},
 * the lowest first. Among routes with the same {@code order}, exact keys come first, then prefixes from the longest to
 * the shortest, then patterns, then routes without a condition on the key; routes that are still equal are tried by
 * their position in the file. Routes that name a host are tried only for requests to that host, sorted together with
 * the routes that name none.
 *
 * <p>Immutable. Exact keys are found by hash and prefixes by binary search, whatever their number and without
 * allocation; patterns and the rest are tried one after another.
 */
public final class RouteTable {
    private final List<Route> sorted;
    private final VirtualHosts hosts;
    /** For each host, the routes for its requests: those that name this host and those that name none. */
    private final Map<String, RouteTier[]> tiersByHost = new HashMap<>();

    private final RouteTier[] anyHostTiers;

    /**
     * A route that was tried and did not match.
     *
     * @param reason the condition that the request does not meet
     */
    public record SkippedRoute(Route route, String reason) {}

    /** A route that no request can reach, and the earlier route that takes all of its requests. */
    public record ShadowedRoute(Route route, Route shadowedBy) {}

    /** Compiles routes that name no hosts. */
    public RouteTable(List<Route> routes) {
        this(routes, VirtualHosts.NONE);
    }

    /** Compiles routes that may name these hosts. */
    public RouteTable(List<Route> routes, VirtualHosts hosts) {
        this.hosts = hosts;
        sorted = routes.stream().sorted(Route::compare).toList();
        Map<String, List<Route>> byHost = new HashMap<>();
        List<Route> anyHost = new ArrayList<>();
        for (Route route : sorted) {
            String host = route.conditions().host();
            (host == null ? anyHost : byHost.computeIfAbsent(host, absent -> new ArrayList<>())).add(route);
        }
        anyHostTiers = tiers(anyHost);
        byHost.forEach((host, hostRoutes) -> {
            hostRoutes.addAll(anyHost);
            hostRoutes.sort(Route::compare);
            tiersByHost.put(host, tiers(hostRoutes));
        });
    }

    private static RouteTier[] tiers(List<Route> sortedRoutes) {
        List<RouteTier> tiers = new ArrayList<>();
        int start = 0;
        for (int i = 1; i <= sortedRoutes.size(); i++) {
            if (i == sortedRoutes.size()
                    || sortedRoutes.get(i).order() != sortedRoutes.get(start).order()) {
                tiers.add(new RouteTier(sortedRoutes.subList(start, i)));
                start = i;
            }
        }
        return tiers.toArray(new RouteTier[0]);
    }

    /** Returns all routes, in the order in which they are tried. */
    public List<Route> routes() {
        return sorted;
    }

    /** Returns the hosts that routes may name. */
    public VirtualHosts hosts() {
        return hosts;
    }

    /** Returns the first route whose conditions the request meets; null if there is none. */
    public Route find(RouteInput input) {
        String host = tiersByHost.isEmpty() ? null : hosts.find(input.listener(), input.host());
        RouteTier[] tiers = host == null ? anyHostTiers : tiersByHost.getOrDefault(host, anyHostTiers);
        for (RouteTier tier : tiers) {
            Route route = tier.find(input);
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    /**
     * Returns the routes tried before the one that {@link #find} returns, with the reasons why they did not match. This
     * is slow and meant for operators' commands.
     */
    public List<SkippedRoute> skippedRoutes(RouteInput input) {
        List<SkippedRoute> skipped = new ArrayList<>();
        String host = hosts.find(input.listener(), input.host());
        for (Route route : sorted) {
            String reason = route.conditions().mismatch(input, host);
            if (reason == null) {
                break;
            }
            String routeHost = route.conditions().host();
            if (routeHost == null || routeHost.equals(host)) {
                skipped.add(new SkippedRoute(route, reason));
            }
        }
        return skipped;
    }

    /** Returns the routes that get no request because a single other route takes all of them. */
    public List<ShadowedRoute> shadowedRoutes() {
        return ShadowedRouteFinder.find(sorted);
    }
}
