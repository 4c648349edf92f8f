package cacheproxy.nginx.importer;

import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.DirectiveShapes;
import cacheproxy.nginx.model.HttpModel;
import cacheproxy.nginx.model.ServerBlock;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteTable;
import cacheproxy.routes.VirtualHosts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Makes the daemon's file of a configuration, and a report in which every directive has its entry. */
public final class Importer {
    /**
     * What comes of it.
     *
     * @param file the daemon's file; null where nothing can be served
     * @param hostInKeys whether keys begin with the host
     */
    public record Result(String file, Report report, boolean hostInKeys, int routes) {}

    private final ImportOptions options;
    private final ConfParser.Conf conf;
    private final HttpModel model;
    private final Report report = new Report();
    private final Values values;
    private final PoolTranslator pools;
    private final List<RouteSpec> routes = new ArrayList<>();
    private final List<VirtualHosts.Host> hosts = new ArrayList<>();
    /** Listeners' names by socket, in order. */
    private final Map<String, String> listeners = new LinkedHashMap<>();

    private final Set<String> listenerNames = new HashSet<>();
    /** The server block that takes what no name takes, by socket. */
    private final Map<String, ServerBlock> defaults = new HashMap<>();

    private Importer(ConfParser.Conf conf, ImportOptions options) {
        this.options = options;
        List<HttpModel.Fault> shapes = new ArrayList<>();
        this.conf = new ConfParser.Conf(
                DirectiveShapes.checked(conf.directives(), shapes), conf.empty(), conf.files(), conf.bytes());
        shapes.forEach(f -> report.not(f.at(), f.reason()));
        model = new HttpModel(this.conf.directives());
        values = new Values(model, report);
        pools = new PoolTranslator(options, report);
    }

    public static Result run(ConfParser.Conf conf, ImportOptions options) {
        return new Importer(conf, options).result();
    }

    private Result result() {
        model.faults().forEach(f -> report.not(f.at(), f.reason()));
        model.upstreams().values().forEach(pools::upstream);
        listens();
        boolean hostInKeys = hostsApart();
        hosts(hostInKeys);
        RouteTable table = prune();
        timeouts();
        boolean query = asksQuery();
        ServerMoves.note(pools.pools().values(), report);
        if (conf.empty().isEmpty() && model.servers().isEmpty()) {
            report.note("there is no server block: there is nothing to route");
        }
        report.finish(conf);
        String file = pools.pools().isEmpty() || table.routes().isEmpty() || listeners.isEmpty()
                ? null
                : new FileText(options, query ? KeyFormat.PATH_AND_QUERY : KeyFormat.PATH)
                        .text(
                                listeners,
                                hosts,
                                pools.pools().values(),
                                routes,
                                limits,
                                pools.slowStartMs(),
                                deadlineMs);
        return new Result(file, report, hostInKeys, routes.size());
    }

    // ---- listeners and hosts

    private void listens() {
        for (ServerBlock s : model.servers()) {
            for (ServerBlock.Listen l : s.listens()) {
                if (l.socket().startsWith("unix:")) {
                    report.not(l.directive(), "sockets of Unix are not listened on");
                    continue;
                }
                String name = listeners.computeIfAbsent(
                        l.socket(), k -> unique("listen-" + k.replaceAll("[^A-Za-z0-9.:*]", "_"), listenerNames));
                boolean encrypted = l.directive() != null
                        && l.directive().args().stream().anyMatch(a -> a.equals("ssl") || a.equals("quic"));
                report.changed(
                        l.directive(), "listener " + name + (encrypted ? "; connections are not encrypted here" : ""));
                if (l.isDefault() || !defaults.containsKey(l.socket())) {
                    ServerBlock before = defaults.put(l.socket(), s);
                    boolean second = before != null
                            && before.listens().stream()
                                    .anyMatch(b -> b.isDefault() && b.socket().equals(l.socket()));
                    if (second && l.isDefault()) {
                        defaults.put(l.socket(), before);
                        report.not(l.directive(), "nginx refuses this: a duplicate default server for " + l.socket());
                    }
                }
            }
            s.directive().all("server_name").forEach(report::carried);
        }
    }

    /** Whether keys must tell the host: some socket has more than one server, or something depends on the host. */
    private boolean hostsApart() {
        Map<String, Integer> counts = new HashMap<>();
        model.servers()
                .forEach(s -> s.listens().stream()
                        .map(ServerBlock.Listen::socket)
                        .distinct()
                        .forEach(l -> counts.merge(l, 1, Integer::sum)));
        return counts.values().stream().anyMatch(n -> n > 1)
                || model.servers().stream().anyMatch(s -> asksHost(s.directive()))
                || model.upstreams().values().stream().anyMatch(u -> values.asksHost(u.key()));
    }

    private boolean asksHost(Directive block) {
        for (Directive d : block.block()) {
            boolean counts = Set.of("if", "proxy_pass", "set", "rewrite").contains(d.name());
            if ((counts && d.args().stream().anyMatch(values::asksHost)) || (d.block() != null && asksHost(d))) {
                return true;
            }
        }
        return false;
    }

    private boolean asksQuery() {
        return pools.pools().values().stream().anyMatch(p -> p.placeBy() != null && values.asksQuery(p.placeBy()))
                || routes.stream()
                        .anyMatch(r -> r.when().share() != null
                                && values.asksQuery(r.when().share().template().text()));
    }

    @SuppressWarnings("ReferenceEquality") // identity is meant
    private void hosts(boolean apart) {
        RouteTranslator translator = new RouteTranslator(model, values, pools, report, routes);
        Set<String> takenNames = new HashSet<>();
        Map<String, Set<String>> takenHosts = new HashMap<>();
        Set<String> asked = apart ? literals() : Set.of();
        VirtualHosts whole = new VirtualHosts(plainHosts());
        for (int i = 0; i < model.servers().size(); i++) {
            ServerBlock s = model.servers().get(i);
            Set<String> at = new LinkedHashSet<>();
            Set<String> defaultAt = new LinkedHashSet<>();
            for (ServerBlock.Listen l : s.listens()) {
                if (listeners.containsKey(l.socket())) {
                    at.add(listeners.get(l.socket()));
                    if (defaults.get(l.socket()) == s) {
                        defaultAt.add(listeners.get(l.socket()));
                    }
                }
            }
            if (at.isEmpty()) {
                report.not(s.directive(), "it listens nowhere; its requests are not taken");
                continue;
            }
            // Hosts that something asks for by name get routes of their own.
            List<String> own = new ArrayList<>();
            boolean depends = asksHost(s.directive());
            if (depends) {
                String me = Integer.toString(i);
                for (String name : asked) {
                    if (at.stream().allMatch(l -> me.equals(whole.find(l, name)))) {
                        own.add(name);
                    }
                }
            }
            List<String> names = new ArrayList<>();
            for (String n : s.names()) {
                boolean again = !n.startsWith("~")
                        && at.stream()
                                .anyMatch(l -> !takenHosts
                                        .computeIfAbsent(l, k -> new HashSet<>())
                                        .add(n));
                if (again) {
                    report.changed(
                            s.directive(), "conflicting server name \"" + n + "\", which nginx ignores here too");
                } else if (n.startsWith("~")) {
                    RegexTranslation r = RegexTranslation.of(n.substring(1), true);
                    if (r.text() == null) {
                        report.not(
                                s.directive(),
                                "server name " + n + " can't be expressed (" + r.why()
                                        + "): its hosts go to the default server");
                    } else {
                        names.add("~" + r.text());
                    }
                } else if (!n.isEmpty() && !n.equals("_")) {
                    if (VirtualHosts.isValidName(n)) {
                        names.add(n);
                    } else {
                        report.not(s.directive(), "server name " + n + " is none that a request could have");
                    }
                }
            }
            String base = hostName(s, takenNames);
            if (depends) {
                for (String name : own) {
                    names.remove(name);
                    String called = unique(name, takenNames);
                    hosts.add(new VirtualHosts.Host(called, at, List.of(name), false, Set.of()));
                    translator.translate(s, called, name);
                }
            }
            if (!names.isEmpty() || !defaultAt.isEmpty()) {
                hosts.add(new VirtualHosts.Host(
                        base, at, names, defaultAt.equals(at), defaultAt.equals(at) ? Set.of() : defaultAt));
                translator.translate(s, base, null);
            } else if (!depends || own.isEmpty()) {
                report.add(
                        s.directive(),
                        Report.Level.LEFT,
                        "no request reaches it: it has no name and is nowhere the default");
            }
        }
    }

    private static boolean isExact(String name) {
        return !name.startsWith("~")
                && name.indexOf('*') < 0
                && !name.startsWith(".")
                && !name.isEmpty()
                && !name.equals("_");
    }

    /** All names that a map, a condition or a server gives in full. */
    private Set<String> literals() {
        Set<String> all = new LinkedHashSet<>();
        model.servers()
                .forEach(s -> s.names().stream().filter(Importer::isExact).forEach(all::add));
        model.variables().values().stream()
                .filter(d -> d.name().equals("map") && values.asksHost(d.arg(0)))
                .forEach(d -> d.block().forEach(e -> {
                    String n = e.name().toLowerCase(Locale.ROOT);
                    if (n.matches("[a-z0-9_-]+(\\.[a-z0-9_-]+)+")) {
                        all.add(n);
                    }
                }));
        model.servers().forEach(s -> conditions(s.directive(), all));
        return all;
    }

    private static void conditions(Directive block, Set<String> into) {
        for (Directive d : block.block()) {
            String text = String.join(" ", d.args());
            java.util.regex.Matcher m = java.util.regex.Pattern.compile(
                            "^\\(?\\s*\\$(?:http_)?host\\s+!?=\\s+[\"']?([^\"')\\s]+)")
                    .matcher(text);
            if (d.name().equals("if") && m.find()) {
                into.add(m.group(1).toLowerCase(Locale.ROOT));
            }
            if (d.block() != null) {
                conditions(d, into);
            }
        }
    }

    /** The servers as nginx finds them, each named by its number. */
    @SuppressWarnings("ReferenceEquality") // identity is meant
    private List<VirtualHosts.Host> plainHosts() {
        List<VirtualHosts.Host> list = new ArrayList<>();
        for (int i = 0; i < model.servers().size(); i++) {
            ServerBlock s = model.servers().get(i);
            Set<String> at = new HashSet<>();
            Set<String> defaultAt = new HashSet<>();
            s.listens().forEach(l -> {
                if (listeners.containsKey(l.socket())) {
                    at.add(listeners.get(l.socket()));
                    if (defaults.get(l.socket()) == s) {
                        defaultAt.add(listeners.get(l.socket()));
                    }
                }
            });
            List<String> names = s.names().stream()
                    .filter(n -> !n.isEmpty())
                    .map(n -> !n.startsWith("~")
                            ? n
                            : "~"
                                    + java.util.Objects.requireNonNullElse(
                                            RegexTranslation.of(n.substring(1), true)
                                                    .text(),
                                            "$^"))
                    .toList();
            if (!at.isEmpty()) {
                list.add(new VirtualHosts.Host(Integer.toString(i), at, names, false, defaultAt));
            }
        }
        return list;
    }

    private static String hostName(ServerBlock s, Set<String> taken) {
        String name = s.names().isEmpty() ? "" : s.names().get(0);
        if (!PoolTranslator.word(name) || name.startsWith("~")) {
            name = "server:" + s.directive().at().line();
        }
        return unique(name, taken);
    }

    private static String unique(String name, Set<String> taken) {
        String plain = name.replaceAll("[^!-~]|[,=]", "_");
        String cut = plain.length() > 56 ? plain.substring(0, 56) : plain;
        String n = cut;
        for (int i = 2; !taken.add(n); i++) {
            n = cut + "#" + i;
        }
        return n;
    }

    // ---- routes

    /** Leaves routes out that no request reaches: the file may have none such. */
    private RouteTable prune() {
        List<Route> built = new ArrayList<>();
        for (RouteSpec r : routes) {
            built.add(r.route(built.size()));
        }
        RouteTable table = new RouteTable(built);
        Set<String> dead = new HashSet<>();
        table.shadowedRoutes().forEach(s -> dead.add(s.route().name()));
        routes.removeIf(r -> dead.contains(r.name()));
        return dead.isEmpty()
                ? table
                : new RouteTable(
                        built.stream().filter(r -> !dead.contains(r.name())).toList());
    }

    // ---- times and tries

    private final Map<String, Double> limits = new LinkedHashMap<>();
    private double deadlineMs = 60_000; // nginx's proxy_read_timeout

    private void timeouts() {
        List<Directive> all = new ArrayList<>();
        collect(model.http(), all);
        double connect = 0;
        double read = 0;
        double tries = 0;
        for (Directive d : all) {
            switch (d.name()) {
                case "proxy_connect_timeout" -> {
                    double ms = Durations.ms(d.arg(0));
                    connect = connect == 0 ? ms : Math.min(connect, ms);
                    report.changed(d, "one bound for all servers, the shortest: connect_timeout_ms, from 10 to 60,000");
                }
                case "proxy_read_timeout" -> {
                    double ms = Durations.ms(d.arg(0));
                    read = Math.max(read, ms);
                    report.changed(d, "one deadline for all requests, the longest, and for the whole answer");
                }
                case "proxy_next_upstream_tries" -> {
                    double n = d.arg(0).matches("[0-9]{1,6}") ? Integer.parseInt(d.arg(0)) : 0;
                    tries = n == 0 ? tries : tries == 0 ? n : Math.min(tries, n);
                    report.changed(d, "one bound for all requests, the least: max_attempts, from 1 to 8");
                }
                case "proxy_next_upstream_timeout" ->
                    report.changed(d, "requests are tried again as long as their deadline leaves time for an answer");
                case "proxy_next_upstream" -> nextUpstream(d);
                default -> {}
            }
        }
        if (connect > 0) {
            limits.put("connect_timeout_ms", Math.max(10, Math.min(60_000, connect)));
        }
        if (tries > 0) {
            limits.put("max_attempts", Math.max(1, Math.min(8, tries)));
        }
        if (read > 0) {
            deadlineMs = Math.max(1, Math.min(3_600_000, read));
        }
    }

    private void nextUpstream(Directive d) {
        if (d.args().contains("non_idempotent")) {
            report.not(d, "non_idempotent is refused: a write that may have run would run twice");
        }
        if (d.args().contains("off")) {
            report.not(
                    d,
                    "reads go to another server where one has failed them; max_attempts = 1 would keep all requests from it");
            return;
        }
        List<String> statuses = d.args().stream()
                .filter(a -> a.startsWith("http_") || a.equals("invalid_header"))
                .toList();
        if (!statuses.isEmpty()) {
            report.changed(d, "servers tell no statuses here: " + String.join(", ", statuses) + " do not count");
        } else {
            report.carried(d);
        }
    }

    private static void collect(List<Directive> block, List<Directive> into) {
        for (Directive d : block) {
            into.add(d);
            if (d.block() != null && !DirectiveTable.isWhole(d)) {
                collect(d.block(), into);
            }
        }
    }
}
