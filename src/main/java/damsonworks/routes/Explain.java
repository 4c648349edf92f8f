package damsonworks.routes;

import damsonworks.Carp;
import damsonworks.RoutingApi.Member;
import damsonworks.placement.Placement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

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
    public record PoolView(List<Member> ready, Map<Integer, String> names, Placement placement, String origin,
            boolean listed, List<String> chain) { }

    public Explain(RouteTable table, Map<String, PoolView> pools) {
        this.table = table;
        this.pools = pools;
    }

    /** One line, and with {@code why} those on how it came to it, indented; {@code number} is that of a key. */
    public List<String> lines(Subject s, boolean why, ToLongFunction<String> number) {
        List<String> lines = new ArrayList<>();
        Route r = table.find(s);
        List<String> more = new ArrayList<>();
        if (r == null) {
            lines.add(s.key() + " route=- answer=rejected (no route takes it)");
        } else if (r.action() instanceof Route.Refuse refuse) {
            lines.add(s.key() + " route=" + r.name() + " answer=refused after=" + Math.round(refuse.afterMs()) + "ms");
        } else if (r.action() instanceof Route.Fail) {
            lines.add(s.key() + " route=" + r.name() + " answer=failed");
        } else if (r.action() instanceof Route.ToPools to) {
            String key = r.rewrite().apply(s.key());
            if (key == null) {
                lines.add(s.key() + " route=" + r.name() + " answer=rejected (its rewrite makes no legal key)");
            } else {
                PoolView pool = pools.get(to.pools().get(0));
                lines.add(s.key() + " route=" + r.name() + " pool=" + to.pools().get(0) + " server="
                        + server(pool, s.write(), number.applyAsLong(key)) + (key.equals(s.key()) ? "" : " key=" + key));
                ranking(to, s.write(), number.applyAsLong(key), more);
            }
        }
        if (why) {
            table.passedOver(s).forEach(p -> lines.add("  passed over " + p.route().name() + ": " + p.why()));
            lines.addAll(more);
        }
        return lines;
    }

    private static int[] top(PoolView pool, long key) {
        int[] top = new int[pool.placement().most(RANKS)];
        int n = pool.ready().isEmpty() ? 0 : pool.placement().top(key, Carp.keyHash(key), RANKS, top);
        return java.util.Arrays.copyOf(top, n);
    }

    private static String server(PoolView pool, boolean write, long key) {
        if (!pool.listed()) {
            return "? (from discovery)";
        }
        if (write && pool.origin() != null) {
            return pool.origin();
        }
        int[] top = top(pool, key);
        return top.length == 0 ? "-" : pool.names().get(pool.ready().get(top[0]).id());
    }

    private void ranking(Route.ToPools to, boolean write, long key, List<String> out) {
        List<String> chain = new ArrayList<>(to.pools());
        pools.get(chain.get(chain.size() - 1)).chain().stream().filter(p -> !chain.contains(p)).forEach(chain::add);
        for (String name : chain) {
            PoolView pool = pools.get(name);
            List<String> ranks = new ArrayList<>();
            for (int i : top(pool, key)) {
                ranks.add(pool.names().get(pool.ready().get(i).id()));
            }
            boolean toOrigin = write && pool.origin() != null;
            out.add("  pool " + name + (toOrigin ? ": writes go to " + pool.origin()
                    : !pool.listed() ? ": servers come from discovery" : " ranks " + String.join(" ", ranks)));
        }
    }
}
