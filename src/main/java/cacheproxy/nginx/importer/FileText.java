package cacheproxy.nginx.importer;

import cacheproxy.placement.PlacementRegistry;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.VirtualHosts;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes the daemon's file. */
final class FileText {
    private static final double HOUR_MS = 3_600_000;

    private final ImportOptions options;
    private final KeyFormat keys;
    private final StringBuilder out = new StringBuilder();

    FileText(ImportOptions options, KeyFormat keys) {
        this.options = options;
        this.keys = keys;
    }

    String text(
            Map<String, String> listeners,
            List<VirtualHosts.Host> hosts,
            Collection<PoolTranslator.PoolSpec> pools,
            List<RouteSpec> routes,
            Map<String, Double> limits,
            double warmUpMs,
            double deadlineMs) {
        out.append("# Made by import-nginx. Routes are called by the file and line that they come from.\n");
        line("keys", quoted(keys == KeyFormat.PATH ? "path" : "path-and-query"));
        if (warmUpMs > 0) {
            head("[site]");
            line("warm_up_ms", number(Math.min(HOUR_MS, warmUpMs)));
        }
        if (!limits.isEmpty()) {
            head("[limits]");
            limits.forEach((k, v) -> line(k, number(v)));
        }
        kinds(deadlineMs);
        int port = options.listenPort();
        for (String name : listeners.values()) {
            head("[[listen]]");
            line("name", quoted(name));
            line("address", quoted(options.listenHost() + ":" + port));
            line("open", "true");
            line("class", quoted("read"));
            line("write_class", quoted("write"));
            port = port == 0 ? 0 : port + 1;
        }
        hosts.forEach(this::host);
        pools.forEach(this::pool);
        routes.forEach(this::route);
        return out.toString();
    }

    private void kinds(double deadlineMs) {
        for (String name : List.of("read", "write")) {
            String effect = name.equals("read") ? "safe" : options.writes();
            head("[[class]]");
            line("name", quoted(name));
            line("effect", quoted(effect));
            line("aim_ms", number(Math.max(1, deadlineMs / 2)));
            line("deadline_ms", number(deadlineMs));
            if (effect.equals("keyed")) {
                line("window_ms", number(options.windowMs()));
            }
        }
    }

    private void host(VirtualHosts.Host h) {
        head("[[host]]");
        line("name", quoted(h.name()));
        line("listener", list(h.listeners().stream().sorted().toList()));
        if (!h.serverNames().isEmpty()) {
            line("names", list(h.serverNames()));
        }
        if (h.isDefault()) {
            line("default", "true");
        } else if (!h.defaultOfListeners().isEmpty()) {
            line("default_of", list(h.defaultOfListeners().stream().sorted().toList()));
        }
    }

    private void pool(PoolTranslator.PoolSpec p) {
        head("[[pool]]");
        out.append("# ")
                .append(p.directive().at().file().replaceAll("[^ -~]", "?"))
                .append(':')
                .append(p.directive().at().line())
                .append('\n');
        line("name", quoted(p.name()));
        line("nodes", quoted("plain"));
        if (!p.placement().equals(PlacementRegistry.CARP)) {
            line("placement", quoted(p.placement()));
            if (p.placeBy() != null) {
                line("place_by", quoted(p.placeBy()));
            }
        }
        for (PoolTranslator.ServerSpec s : p.servers()) {
            head("[[pool.server]]");
            line("name", quoted(s.name()));
            if (s.ring() != null) {
                line("ring", quoted(s.ring()));
            }
            if (s.dial() != null) {
                line("dial", quoted(s.dial()));
            }
            if (s.weight() != 1) {
                line("weight", Integer.toString(s.weight()));
            }
            if (s.backup()) {
                line("backup", "true");
            }
            if (s.down()) {
                line("down", "true");
            }
            if (!s.backup()) {
                line("warm", "true"); // it has been serving nginx; a backup has not
            }
        }
    }

    private void route(RouteSpec r) {
        head("[[route]]");
        out.append("# ").append(r.comment().replaceAll("[^ -~]", "?")).append('\n');
        line("name", quoted(r.name()));
        line("order", Integer.toString(r.order()));
        line("host", quoted(r.host()));
        if (r.exact() != null) {
            line("key", quoted(r.exact()));
        }
        if (r.prefix() != null) {
            line("prefix", quoted(r.prefix()));
        }
        if (!r.when().patterns().isEmpty()) {
            line("regex", list(r.when().patterns()));
        }
        if (r.when().write() != null) {
            line("write", r.when().write().toString());
        }
        if (r.when().share() != null) {
            line(
                    "share",
                    "{ by = " + quoted(r.when().share().template().text()) + ", from_hash = "
                            + r.when().share().fromHash() + ", to_hash = "
                            + r.when().share().toHash() + " }");
        }
        if (r.strip() != null) {
            line("strip", quoted(r.strip()));
        }
        if (r.add() != null) {
            line("add", quoted(r.add()));
        }
        if (r.replace() != null) {
            line("replace", quoted(r.replace()));
        }
        if (r.placeBy() != null) {
            line("place_by", quoted(r.placeBy()));
        }
        if (!r.pools().isEmpty()) {
            line("pools", list(r.pools()));
        } else if (r.refuse()) {
            line("refuse_ms", "1000");
        } else {
            line("fail", "true");
        }
    }

    private void head(String text) {
        out.append('\n').append(text).append('\n');
    }

    private void line(String key, String value) {
        out.append(key).append(" = ").append(value).append('\n');
    }

    private static String number(double n) {
        return n == Math.rint(n) ? Long.toString((long) n) : Double.toString(n);
    }

    private static String list(List<String> texts) {
        return texts.stream().map(FileText::quoted).collect(Collectors.joining(", ", "[", "]"));
    }

    /** A literal string of TOML, in which patterns stand as they are, or a basic one. */
    private static String quoted(String text) {
        if (text.indexOf('\\') >= 0 && text.chars().allMatch(c -> c >= ' ' && c < 0x7F && c != '\'')) {
            return "'" + text + "'";
        }
        StringBuilder s = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                s.append('\\').append(c);
            } else if (c < ' ' || c >= 0x7F) {
                s.append(String.format("\\u%04X", (int) c));
            } else {
                s.append(c);
            }
        }
        return s.append('"').toString();
    }
}
