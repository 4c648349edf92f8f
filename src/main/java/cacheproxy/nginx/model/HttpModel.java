package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What a configuration's {@code http} part says, apart from its grammar: servers with their names and locations,
 * upstreams with their servers, variables with the blocks that define them.
 */
public final class HttpModel {
    /** Something that nginx itself would not start with, or would ignore. */
    public record Fault(Directive at, String why) {}

    /** The {@code http} blocks, or the whole tree where there is none: a file of sites as distributions keep them. */
    public final List<Directive> http;

    public final Map<String, UpstreamBlock> upstreams = new LinkedHashMap<>();
    public final List<ServerBlock> servers = new ArrayList<>();
    /** {@code map}, {@code split_clients} and {@code geo} by the variable that they set, without its dollar. */
    public final Map<String, Directive> variables = new HashMap<>();

    public final List<Fault> faults = new ArrayList<>();

    public HttpModel(List<Directive> tree) {
        List<Directive> blocks = tree.stream()
                .filter(d -> d.name().equals("http") && d.block() != null)
                .toList();
        http = blocks.isEmpty()
                ? tree
                : blocks.stream().flatMap(b -> b.block().stream()).toList();
        for (Directive d : http) {
            switch (d.name()) {
                case "upstream" -> upstream(d);
                case "map", "geo", "split_clients" -> variable(d);
                default -> {}
            }
        }
        for (Directive d : http) {
            if (d.name().equals("server") && d.block() != null) {
                servers.add(server(d));
            }
        }
    }

    private void fault(Directive at, String why) {
        faults.add(new Fault(at, "nginx refuses this: " + why));
    }

    private void variable(Directive d) {
        String name = d.name().equals("geo") && d.args().size() == 1 ? d.arg(0) : d.arg(1);
        if (!name.startsWith("$") || d.block() == null) {
            fault(d, "it names no variable");
            return;
        }
        variables.put(name.substring(1), d);
    }

    // ---- upstreams

    private void upstream(Directive d) {
        String name = d.arg(0);
        if (d.block() == null || name.isEmpty()) {
            fault(d, "an upstream needs a name and a block");
            return;
        }
        if (upstreams.containsKey(name)) {
            fault(
                    d,
                    "duplicate upstream \"" + name + "\"; the first, of line "
                            + upstreams.get(name).directive().at().line() + ", is taken");
            return;
        }
        UpstreamBlock.Method method = UpstreamBlock.Method.ROUND_ROBIN;
        Directive methodAt = null;
        List<UpstreamBlock.Server> servers = new ArrayList<>();
        boolean backupsAllowed = true;
        for (Directive e : d.block()) {
            UpstreamBlock.Method m = method(e);
            if (m != null) {
                if (methodAt != null) {
                    faults.add(new Fault(e, "load balancing method redefined; the last holds"));
                }
                method = m;
                methodAt = e;
                // nginx forgets what a method does not take only for servers that are written after it.
                backupsAllowed = m == UpstreamBlock.Method.ROUND_ROBIN
                        || m == UpstreamBlock.Method.LEAST_CONN
                        || m == UpstreamBlock.Method.OTHER;
            } else if (e.name().equals("server")) {
                server(e, backupsAllowed, servers);
            }
        }
        upstreams.put(name, new UpstreamBlock(name, d, method, methodAt, servers));
    }

    private static UpstreamBlock.Method method(Directive d) {
        return switch (d.name()) {
            case "hash" -> d.arg(1).equals("consistent") ? UpstreamBlock.Method.CONSISTENT : UpstreamBlock.Method.HASH;
            case "ip_hash" -> UpstreamBlock.Method.IP_HASH;
            case "least_conn" -> UpstreamBlock.Method.LEAST_CONN;
            case "random" -> UpstreamBlock.Method.RANDOM;
            case "least_time", "sticky", "fair" -> UpstreamBlock.Method.OTHER;
            default -> null;
        };
    }

    private void server(Directive d, boolean backupsAllowed, List<UpstreamBlock.Server> into) {
        int weight = 1;
        boolean backup = false;
        boolean down = false;
        Map<String, String> others = new LinkedHashMap<>();
        for (String p : d.args().subList(Math.min(1, d.args().size()), d.args().size())) {
            int is = p.indexOf('=');
            if (p.equals("backup")) {
                backup = true;
                if (!backupsAllowed) {
                    fault(d, "balancing method does not support parameter \"backup\"; it stays a backup here");
                }
            } else if (p.equals("down")) {
                down = true;
            } else if (p.startsWith("weight=")) {
                weight = number(p.substring(is + 1));
                if (weight < 1) {
                    fault(d, "invalid parameter \"" + p + "\"; the server is kept as down, with weight 1");
                    weight = 1;
                    down = true;
                }
            } else if (is > 0) {
                others.put(p.substring(0, is), p.substring(is + 1));
            } else {
                others.put(p, "");
            }
        }
        if (d.args().isEmpty()) {
            fault(d, "it has no address");
            return;
        }
        into.add(new UpstreamBlock.Server(d.arg(0), weight, backup, down, others, d));
    }

    /** A number from 1 to a million; 0 if it is none. */
    private static int number(String text) {
        return text.matches("[0-9]{1,7}") && Integer.parseInt(text) <= 1_000_000 ? Integer.parseInt(text) : 0;
    }

    // ---- servers

    private ServerBlock server(Directive d) {
        List<ServerBlock.Listen> listens = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (Directive e : d.block()) {
            if (e.name().equals("listen")) {
                boolean isDefault =
                        e.args().contains("default_server") || e.args().contains("default");
                listens.add(new ServerBlock.Listen(socket(e.arg(0)), isDefault, e));
            } else if (e.name().equals("server_name")) {
                for (String n : e.args()) {
                    names.add(n.startsWith("~") ? n : n.toLowerCase(Locale.ROOT));
                }
            }
        }
        if (listens.isEmpty()) {
            listens.add(new ServerBlock.Listen("*:80", false, null));
        }
        List<Location> locations = new ArrayList<>();
        locations(d, null, locations);
        return new ServerBlock(d, listens, names, locations);
    }

    private static String socket(String text) {
        if (text.startsWith("unix:")) {
            return text;
        }
        if (text.matches("[0-9]+")) {
            return "*:" + text;
        }
        boolean port = text.matches(".*[^:]:[0-9]+") || text.matches("\\[.*]:[0-9]+");
        return port ? text : text + ":80";
    }

    private void locations(Directive block, Location parent, List<Location> into) {
        Set<String> seen = new HashSet<>();
        for (Directive d : block.block()) {
            if (!d.name().equals("location") || d.block() == null) {
                continue;
            }
            Location l = location(d, parent);
            if (l == null) {
                continue;
            }
            String same = (l.kind.isPrefix() ? Location.Kind.PREFIX : l.kind) + " " + l.text;
            if (!l.kind.isRegex() && !seen.add(same)) {
                fault(d, "duplicate location \"" + l.text + "\"; the first is taken");
                continue;
            }
            String outside = outside(l, parent);
            if (outside != null) {
                fault(d, "location \"" + l.text + "\" " + outside + "; it is left out");
                continue;
            }
            locations(d, l, l.children);
            into.add(l);
        }
    }

    private Location location(Directive d, Location parent) {
        if (d.args().size() == 2) {
            Location.Kind kind = switch (d.arg(0)) {
                case "=" -> Location.Kind.EXACT;
                case "^~" -> Location.Kind.PREFIX_ALONE;
                case "~" -> Location.Kind.REGEX;
                case "~*" -> Location.Kind.REGEX_ANY_CASE;
                default -> null;
            };
            if (kind == null) {
                fault(d, "invalid location modifier \"" + d.arg(0) + "\"; it is left out");
                return null;
            }
            return new Location(kind, d.arg(1), d, parent);
        }
        if (d.args().size() != 1) {
            fault(d, "invalid number of arguments in \"location\"; it is left out");
            return null;
        }
        String text = d.arg(0);
        // The modifier may be written without a space.
        if (text.startsWith("=")) {
            return new Location(Location.Kind.EXACT, text.substring(1), d, parent);
        }
        if (text.startsWith("^~")) {
            return new Location(Location.Kind.PREFIX_ALONE, text.substring(2), d, parent);
        }
        if (text.startsWith("~")) {
            boolean any = text.startsWith("~*");
            return new Location(
                    any ? Location.Kind.REGEX_ANY_CASE : Location.Kind.REGEX, text.substring(any ? 2 : 1), d, parent);
        }
        return new Location(text.startsWith("@") ? Location.Kind.NAMED : Location.Kind.PREFIX, text, d, parent);
    }

    /** Why a location can't stand where it does; null if it can. */
    private static String outside(Location l, Location parent) {
        if (parent == null) {
            return null;
        }
        if (parent.kind == Location.Kind.EXACT) {
            return "cannot be inside the exact location \"" + parent.text + "\"";
        }
        if (parent.kind == Location.Kind.NAMED) {
            return "cannot be inside the named location \"" + parent.text + "\"";
        }
        if (l.kind == Location.Kind.NAMED) {
            return "can be on the server level only";
        }
        return !l.kind.isRegex() && !l.text.startsWith(parent.text)
                ? "is outside location \"" + parent.text + "\""
                : null;
    }
}
