package cacheproxy.routes;

import cacheproxy.placement.Placement;
import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Explains where a request goes and why, from the same route table and placements that serve it. */
public final class RouteExplanation {
    private static final int MAX_RANKED_SERVERS = 8;
    private static final String NO_SERVER = "-";

    private final RouteTable table;
    private final Map<String, PoolView> pools;

    /**
     * The configuration of a pool.
     *
     * @param readyServers servers that may get requests, in ascending order of their unsigned ids
     * @param serverNames names of servers by id
     * @param keyHash the hash by which the placement identifies a request
     * @param originName name of the origin; null if there is none
     * @param hasStaticServers whether the servers are configured; otherwise they come from discovery
     * @param fallbackChain this pool and the pools that follow it
     */
    public record PoolView(
            List<Endpoint> readyServers,
            Map<Integer, String> serverNames,
            Placement placement,
            KeyHash keyHash,
            String originName,
            boolean hasStaticServers,
            List<String> fallbackChain) {

        /** Returns the names of the highest ranked servers for a request, the first choice first. */
        private List<String> rankedServers(RouteInput input, Route route, String poolKey) {
            long key = keyHash.of(input, route, poolKey);
            int[] ranked = new int[placement.maxRanked(MAX_RANKED_SERVERS)];
            int count =
                    readyServers.isEmpty() ? 0 : placement.rank(key, CarpHash.keyHash(key), MAX_RANKED_SERVERS, ranked);
            return Arrays.stream(ranked, 0, count)
                    .mapToObj(index -> serverNames.get(readyServers.get(index).id()))
                    .collect(Collectors.toList());
        }

        private boolean sendsToOrigin(RouteInput input) {
            return input.write() && originName != null;
        }

        /** Returns the server that the request goes to, for the first line. */
        private String firstServer(RouteInput input, Route route, String poolKey) {
            if (!hasStaticServers) {
                return "? (from discovery)";
            }
            if (sendsToOrigin(input)) {
                return originName;
            }
            List<String> ranked = rankedServers(input, route, poolKey);
            return ranked.isEmpty() ? NO_SERVER : ranked.get(0);
        }

        /** Returns the ranking of the pool's servers, for a line of reasons. */
        private String ranking(RouteInput input, Route route, String poolKey) {
            if (sendsToOrigin(input)) {
                return ": writes go to " + originName;
            }
            return hasStaticServers
                    ? " ranks " + String.join(" ", rankedServers(input, route, poolKey))
                    : ": servers come from discovery";
        }
    }

    /** Creates explanations of the routes of a table to these pools. */
    public RouteExplanation(RouteTable table, Map<String, PoolView> pools) {
        this.table = table;
        this.pools = pools;
    }

    /**
     * Returns one line with the request's destination, followed by indented lines with the reasons if
     * {@code withReasons} is set.
     */
    public List<String> lines(RouteInput input, boolean withReasons) {
        Route route = table.find(input);
        List<String> lines = new ArrayList<>();
        lines.add(input.rawKey() + " " + destination(input, route));
        if (withReasons) {
            table.skippedRoutes(input)
                    .forEach(skipped ->
                            lines.add("  passed over " + skipped.route().name() + ": " + skipped.reason()));
            lines.addAll(rankings(input, route));
        }
        return lines;
    }

    private String destination(RouteInput input, Route route) {
        if (route == null) {
            return "route=- answer=rejected (no route takes it)";
        }
        String prefix = "route=" + route.name();
        if (route.action() instanceof Route.Reject reject) {
            return prefix + " answer=refused after=" + Math.round(reject.retryAfterMs()) + "ms";
        }
        if (!(route.action() instanceof Route.ToPools toPools)) {
            return prefix + " answer=failed";
        }
        String key = route.poolKey(input);
        if (key == null) {
            return prefix + " answer=rejected (its rewrite makes no legal key)";
        }
        String poolName = toPools.pools().get(0);
        return prefix + " pool=" + poolName + " server="
                + pools.get(poolName).firstServer(input, route, key)
                + (key.equals(input.rawKey()) ? "" : " key=" + key);
    }

    /** Returns a line for each pool that may get the request, in the order in which they are tried. */
    private List<String> rankings(RouteInput input, Route route) {
        if (route == null || !(route.action() instanceof Route.ToPools toPools)) {
            return List.of();
        }
        String key = route.poolKey(input);
        if (key == null) {
            return List.of();
        }
        List<String> chain = new ArrayList<>(toPools.pools());
        pools.get(chain.get(chain.size() - 1)).fallbackChain().stream()
                .filter(name -> !chain.contains(name))
                .forEach(chain::add);
        return chain.stream()
                .map(name -> "  pool " + name + pools.get(name).ranking(input, route, key))
                .toList();
    }
}
