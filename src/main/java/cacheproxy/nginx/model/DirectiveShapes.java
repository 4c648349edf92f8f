package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Leaves out directives with a wrong number of parameters, or with a block where none belongs and the other way round:
 * nginx would not start with them, and all that follows may rely on what is left. Of directives that nothing here
 * relies on, the shape is not asked.
 */
public final class DirectiveShapes {
    private record Shape(int least, int most, boolean block) {}

    private static final int ANY = Integer.MAX_VALUE;
    private static final Map<String, Shape> SHAPES = new HashMap<>();
    private static final Set<String> TABLES = Set.of("map", "split_clients", "geo");
    /** Their parameters alone count, not their number. */
    private static final Set<String> TABLE_WORDS = Set.of("hostnames", "volatile", "ranges", "proxy_recursive");

    static {
        put("http", 0, 0, true);
        put("upstream", 1, 1, true);
        put("location", 1, 2, true);
        put("if", 1, ANY, true);
        put("limit_except", 1, ANY, true);
        put("map", 2, 2, true);
        put("split_clients", 2, 2, true);
        put("geo", 1, 2, true);
        put("set", 2, 2, false);
        put("rewrite", 2, 3, false);
        put("return", 1, 2, false);
        put("break", 0, 0, false);
        put("proxy_pass", 1, 1, false);
        put("memcached_pass", 1, 1, false);
        put("try_files", 2, ANY, false);
        put("error_page", 2, ANY, false);
        put("listen", 1, ANY, false);
        put("server_name", 1, ANY, false);
        put("internal", 0, 0, false);
        put("hash", 1, 2, false);
        put("proxy_next_upstream", 1, ANY, false);
        put("proxy_next_upstream_tries", 1, 1, false);
        put("proxy_connect_timeout", 1, 1, false);
        put("proxy_read_timeout", 1, 1, false);
        put("deny", 1, 1, false);
    }

    private DirectiveShapes() {}

    private static void put(String name, int least, int most, boolean block) {
        SHAPES.put(name, new Shape(least, most, block));
    }

    /**
     * The tree without what is of a wrong shape; that goes to {@code faults}. Directives that stay whole are the same
     * objects.
     */
    public static List<Directive> checked(List<Directive> tree, List<HttpModel.Fault> faults) {
        return checked(tree, "", faults);
    }

    private static List<Directive> checked(List<Directive> block, String within, List<HttpModel.Fault> faults) {
        List<Directive> good = new ArrayList<>(block.size());
        for (Directive d : block) {
            String wrong = wrong(d, within);
            if (wrong != null) {
                faults.add(new HttpModel.Fault(d, "nginx refuses this: " + wrong + "; it is left out"));
                continue;
            }
            if (d.block() == null || d.block().isEmpty()) {
                good.add(d);
                continue;
            }
            List<Directive> inner = checked(d.block(), d.name(), faults);
            good.add(
                    inner.size() == d.block().size() && same(inner, d.block())
                            ? d
                            : new Directive(d.name(), d.args(), inner, d.raw(), d.at()));
        }
        return good;
    }

    @SuppressWarnings("ReferenceEquality") // identity is meant
    private static boolean same(List<Directive> a, List<Directive> b) {
        for (int i = 0; i < a.size(); i++) {
            if (a.get(i) != b.get(i)) {
                return false;
            }
        }
        return true;
    }

    /** Null if nothing is. */
    private static String wrong(Directive d, String within) {
        if (TABLES.contains(within)) {
            boolean word = TABLE_WORDS.contains(d.name());
            return d.block() != null || (!word && d.args().size() != 1)
                    ? "invalid number of the " + within + " parameters"
                    : null;
        }
        Shape s = d.name().equals("server")
                ? new Shape(
                        within.equals("upstream") ? 1 : 0,
                        within.equals("upstream") ? ANY : 0,
                        !within.equals("upstream"))
                : SHAPES.get(d.name());
        if (s == null) {
            return null;
        }
        if (s.block != (d.block() != null)) {
            return s.block
                    ? "directive \"" + d.name() + "\" has no opening \"{\""
                    : "directive \"" + d.name() + "\" is not terminated by \";\"";
        }
        return d.args().size() < s.least || d.args().size() > s.most
                ? "invalid number of arguments in \"" + d.name() + "\" directive"
                : null;
    }
}
