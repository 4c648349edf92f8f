package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Drops directives that have a wrong number of parameters, an unexpected block, or no block where one is required.
 * nginx would not start with them, and all later steps rely on the form of the remaining directives. Directives that
 * the importer does not interpret can have any form.
 */
public final class DirectiveShapes {
    /** The form of a directive: the minimum and maximum number of its parameters, and whether it has a block. */
    private record Shape(int minArgs, int maxArgs, boolean hasBlock) {
        String mismatch(Directive directive) {
            if (hasBlock && directive.block() == null) {
                return "directive \"" + directive.name() + "\" has no opening \"{\"";
            }
            if (!hasBlock && directive.block() != null) {
                return "directive \"" + directive.name() + "\" is not terminated by \";\"";
            }
            int count = directive.args().size();
            return count < minArgs || count > maxArgs
                    ? "invalid number of arguments in \"" + directive.name() + "\" directive"
                    : null;
        }
    }

    private static final int UNBOUNDED = Integer.MAX_VALUE;
    private static final Shape HTTP_SERVER = new Shape(0, 0, true);
    private static final Shape UPSTREAM_SERVER = new Shape(1, UNBOUNDED, false);
    private static final Map<String, Shape> SHAPES = new HashMap<>();
    /** Blocks that contain table entries, with one value each, instead of directives. */
    private static final Set<String> TABLES = Set.of("map", "split_clients", "geo");
    /** Table entries that are flags or take any number of parameters. */
    private static final Set<String> TABLE_OPTIONS = Set.of("hostnames", "volatile", "ranges", "proxy_recursive");

    static {
        block("http", 0, 0);
        block("upstream", 1, 1);
        block("location", 1, 2);
        block("if", 1, UNBOUNDED);
        block("limit_except", 1, UNBOUNDED);
        block("map", 2, 2);
        block("split_clients", 2, 2);
        block("geo", 1, 2);
        simple("set", 2, 2);
        simple("rewrite", 2, 3);
        simple("return", 1, 2);
        simple("break", 0, 0);
        simple("proxy_pass", 1, 1);
        simple("memcached_pass", 1, 1);
        simple("try_files", 2, UNBOUNDED);
        simple("error_page", 2, UNBOUNDED);
        simple("listen", 1, UNBOUNDED);
        simple("server_name", 1, UNBOUNDED);
        simple("internal", 0, 0);
        simple("hash", 1, 2);
        simple("proxy_next_upstream", 1, UNBOUNDED);
        simple("proxy_next_upstream_tries", 1, 1);
        simple("proxy_connect_timeout", 1, 1);
        simple("proxy_read_timeout", 1, 1);
        simple("deny", 1, 1);
    }

    private DirectiveShapes() {}

    private static void block(String name, int minArgs, int maxArgs) {
        SHAPES.put(name, new Shape(minArgs, maxArgs, true));
    }

    private static void simple(String name, int minArgs, int maxArgs) {
        SHAPES.put(name, new Shape(minArgs, maxArgs, false));
    }

    /**
     * Returns the tree without directives of a wrong form, and adds a fault for each of them to {@code faults}.
     * Directives in which nothing was dropped remain the same objects.
     */
    public static List<Directive> checked(List<Directive> tree, List<HttpModel.Fault> faults) {
        return checked(tree, "", faults);
    }

    private static List<Directive> checked(
            List<Directive> directives, String enclosingName, List<HttpModel.Fault> faults) {
        List<Directive> valid = new ArrayList<>(directives.size());
        for (Directive directive : directives) {
            String mismatch = mismatch(directive, enclosingName);
            if (mismatch != null) {
                faults.add(new HttpModel.Fault(directive, "nginx refuses this: " + mismatch + "; it is left out"));
            } else {
                valid.add(withCheckedBlock(directive, faults));
            }
        }
        return valid;
    }

    private static Directive withCheckedBlock(Directive directive, List<HttpModel.Fault> faults) {
        if (directive.block() == null || directive.block().isEmpty()) {
            return directive;
        }
        List<Directive> block = checked(directive.block(), directive.name(), faults);
        return isSame(block, directive.block())
                ? directive
                : new Directive(directive.name(), directive.args(), block, directive.rawBlock(), directive.position());
    }

    @SuppressWarnings("ReferenceEquality") // compares identity on purpose
    private static boolean isSame(List<Directive> left, List<Directive> right) {
        if (left.size() != right.size()) {
            return false;
        }
        for (int i = 0; i < left.size(); i++) {
            if (left.get(i) != right.get(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns what is wrong with a directive's form; null if it is right. */
    private static String mismatch(Directive directive, String enclosingName) {
        if (TABLES.contains(enclosingName)) {
            boolean isOption = TABLE_OPTIONS.contains(directive.name());
            return directive.block() != null || (!isOption && directive.args().size() != 1)
                    ? "invalid number of the " + enclosingName + " parameters"
                    : null;
        }
        Shape shape = shape(directive.name(), enclosingName);
        return shape == null ? null : shape.mismatch(directive);
    }

    private static Shape shape(String name, String enclosingName) {
        if (name.equals("server")) {
            return enclosingName.equals("upstream") ? UPSTREAM_SERVER : HTTP_SERVER;
        }
        return SHAPES.get(name);
    }
}
