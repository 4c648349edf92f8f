package cacheproxy.routes;

import cacheproxy.placement.Placement;
import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Says where a request goes and why, from the same route table and placements that serve it. */
public final class Explain {
    private static final int RANKS = 8;

    private final RouteTable table;
    private final Map<String, PoolView> pools;

    /**
     * A pool as far as the file tells.
     *
     * @param ready servers that may be sent to, in ascending order of their unsigned ids
     * @param names of servers by id
     * @param origin name of the origin, null if there is none
     * @param listed whether the servers come from the file; else only discovery knows them
     * @param chain this pool and those that follow it
     */
    public record PoolView(
            List<Endpoint> ready,
            Map<Integer, String> names,
            Placement placement,
            KeyHash number,
            String origin,
            boolean listed,
            List<String> chain) {}

    public Explain(RouteTable table, Map<String, PoolView> pools) {
        this.table = table;
        this.pools = pools;
    }

    /** One line, and with {@code why} those on how it came to it, indented. */
    public List<String> lines(RouteInput s, boolean why) {
        List<String> lines = new ArrayList<>();
        Route r = table.find(s);
        List<String> more = new ArrayList<>();
        if (r == null) {
            lines.add(s.text() + " route=- answer=rejected (no route takes it)");
        } else if (r.action() instanceof Route.Refuse refuse) {
            lines.add(s.text() + " route=" + r.name() + " answer=refused after=" + Math.round(refuse.afterMs()) + "ms");
        } else if (r.action() instanceof Route.Fail) {
            lines.add(s.text() + " route=" + r.name() + " answer=failed");
        } else if (r.action() instanceof Route.ToPools to) {
            String key = r.poolKey(s);
            if (key == null) {
                lines.add(s.text() + " route=" + r.name() + " answer=rejected (its rewrite makes no legal key)");
            } else {
                PoolView pool = pools.get(to.pools().get(0));
                lines.add(
                        s.text() + " route=" + r.name() + " pool=" + to.pools().get(0) + " server="
                                + server(pool, s, r, key) + (key.equals(s.text()) ? "" : " key=" + key));
                ranking(to, s, r, key, more);
            }
        }
        if (why) {
            table.passedOver(s)
                    .forEach(p -> lines.add("  passed over " + p.route().name() + ": " + p.why()));
            lines.addAll(more);
        }
        return lines;
    }

    private static int[] top(PoolView pool, RouteInput s, Route r, String poolKey) {
        long key = pool.number().of(s, r, poolKey);
        int[] top = new int[pool.placement().maxRanked(RANKS)];
        int n = pool.ready().isEmpty() ? 0 : pool.placement().rank(key, CarpHash.keyHash(key), RANKS, top);
        return java.util.Arrays.copyOf(top, n);
    }

    private static String server(PoolView pool, RouteInput s, Route r, String key) {
        if (!pool.listed()) {
            return "? (from discovery)";
        }
        if (s.write() && pool.origin() != null) {
            return pool.origin();
        }
        int[] top = top(pool, s, r, key);
        return top.length == 0 ? "-" : pool.names().get(pool.ready().get(top[0]).id());
    }

    private void ranking(Route.ToPools to, RouteInput s, Route r, String key, List<String> out) {
        List<String> chain = new ArrayList<>(to.pools());
        pools.get(chain.get(chain.size() - 1)).chain().stream()
                .filter(p -> !chain.contains(p))
                .forEach(chain::add);
        for (String name : chain) {
            PoolView pool = pools.get(name);
            List<String> ranks = new ArrayList<>();
            for (int i : top(pool, s, r, key)) {
                ranks.add(pool.names().get(pool.ready().get(i).id()));
            }
            boolean toOrigin = s.write() && pool.origin() != null;
            out.add("  pool " + name
                    + (toOrigin
                            ? ": writes go to " + pool.origin()
                            : !pool.listed() ? ": servers come from discovery" : " ranks " + String.join(" ", ranks)));
        }
    }
}
