package cacheproxy.config;

import cacheproxy.policy.PolicyApi.ServiceClass;
import cacheproxy.policy.PolicyApi.Tenant;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.KeyShare;
import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteTable;
import cacheproxy.routes.SplitShare;
import cacheproxy.routes.TrafficShare;
import cacheproxy.routes.VirtualHosts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Reads the file's hosts and routes, once all that they name is known. */
final class RouteReader {
    private static final double HOUR_MS = 3_600_000;
    private static final int MAX_PATTERNS = 4;

    private final TomlTableReader.Errors errors;
    private final Set<String> listeners;
    private final List<String> classes;
    private final List<String> tenants;
    private final Set<String> pools;
    private final Set<String> hosts = new HashSet<>();

    RouteReader(
            TomlTableReader.Errors errors,
            Set<String> listeners,
            List<ServiceClass> classes,
            List<Tenant> tenants,
            Set<String> pools) {
        this.errors = errors;
        this.listeners = listeners;
        this.classes = classes.stream().map(ServiceClass::name).toList();
        this.tenants = tenants.stream().map(Tenant::name).toList();
        this.pools = pools;
    }

    RouteTable table(List<TomlTableReader> hostSections, List<TomlTableReader> sections, KeyFormat keys) {
        int before = errors.lines().size();
        VirtualHosts virtual = new VirtualHosts(hosts(hostSections, keys));
        List<Route> list = new ArrayList<>();
        Map<String, TomlTableReader> byName = new HashMap<>();
        Set<String> names = new HashSet<>();
        for (TomlTableReader s : sections) {
            Route r = route(s, names, list.size());
            if (r != null) {
                list.add(r);
                byName.put(r.name(), s);
            }
        }
        if (sections.isEmpty()) {
            errors.add(null, "no route; write [[route]] with a name and pools");
        }
        RouteTable table = new RouteTable(list, virtual);
        if (errors.lines().size() == before) {
            for (RouteTable.Shadowed dead : table.shadowed()) {
                byName.get(dead.route().name())
                        .error(
                                "name",
                                "route '" + dead.route().name()
                                        + "' is never reached: '" + dead.by().name()
                                        + "' takes all of its requests before; give it a "
                                        + "lower order, or leave it out");
            }
        }
        return table;
    }

    private List<VirtualHosts.Host> hosts(List<TomlTableReader> sections, KeyFormat keys) {
        List<VirtualHosts.Host> list = new ArrayList<>();
        Map<String, String> defaults = new HashMap<>();
        for (TomlTableReader s : sections) {
            String name = DaemonConfigReader.name(s, hosts, "host");
            if (keys == KeyFormat.TEXT) {
                s.error("name", "hosts are parts of keys that are paths; set keys = \"path\" at the file's head");
            }
            Set<String> from = Set.copyOf(allKnown(s, "listener", listeners, "listener"));
            List<String> names = new ArrayList<>();
            for (String n : s.texts("names")) {
                if (legal(s, n)) {
                    names.add(n.startsWith("~") ? n : n.toLowerCase(Locale.ROOT));
                }
            }
            boolean fallback = s.flag("default", false);
            Set<String> fallbackOf = Set.copyOf(allKnown(s, "default_of", listeners, "listener"));
            for (String l : fallbackOf) {
                if (!from.isEmpty() && !from.contains(l)) {
                    s.error("default_of", "host '" + name + "' is not found at listener " + l + "; add it to listener");
                }
            }
            if (names.isEmpty() && !fallback && fallbackOf.isEmpty()) {
                s.error("names", "host " + name + " has no names; write names, or default = true");
            }
            for (String l : fallback ? from.isEmpty() ? listeners : from : fallbackOf) {
                String other = defaults.putIfAbsent(l, name);
                if (other != null) {
                    s.error("default", "host '" + other + "' is the default of listener " + l + " already; one each");
                }
            }
            list.add(new VirtualHosts.Host(name, from, names, fallback, fallbackOf));
            s.end();
        }
        return list;
    }

    private static boolean legal(TomlTableReader s, String n) {
        if (n.startsWith("~")) {
            return pattern(s, "names", n.substring(1)) != null;
        }
        if (!VirtualHosts.isName(n)) {
            s.error("names", "'" + n + "' is no host; allowed: a.example, *.example, .example, a.*, ~regex");
            return false;
        }
        return true;
    }

    /** Null after an error. */
    private static KeyPattern pattern(TomlTableReader s, String key, String text) {
        try {
            return new KeyPattern(text);
        } catch (IllegalArgumentException e) {
            s.error(key, key + " can't be used: " + DaemonConfigReader.oneLine(e.getMessage()));
            return null;
        }
    }

    private Route route(TomlTableReader s, Set<String> names, int position) {
        String name = DaemonConfigReader.name(s, names, "route");
        String exact = s.text("key", null);
        String prefix = s.text("prefix", null);
        List<String> regex = s.texts("regex");
        if (exact != null && prefix != null) {
            s.error("name", "route '" + name + "' has key and prefix; one at most");
        }
        if (exact != null && !KeyRewrite.legal(exact)) {
            s.error("key", "no request has this key; keys have 1 to 250 printing characters without space");
        }
        if (prefix != null && !prefix.isEmpty() && !KeyRewrite.legal(prefix)) {
            s.error("prefix", "no key begins with this; keys have 1 to 250 printing characters without space");
        }
        if (regex.size() > MAX_PATTERNS) {
            s.error("regex", regex.size() + " patterns; at most " + MAX_PATTERNS + " in one route");
        }
        List<KeyPattern> patterns = new ArrayList<>();
        for (String text : regex) {
            KeyPattern p = pattern(s, "regex", text);
            if (p != null) {
                patterns.add(p);
            }
        }
        String host = s.text("host", null);
        if (host != null && !hosts.contains(host)) {
            s.error(
                    "host",
                    "there is no host '" + host + "'; there are: "
                            + String.join(", ", DaemonConfigReader.sorted(hosts)));
        }
        Set<String> from = Set.copyOf(allKnown(s, "listener", listeners, "listener"));
        Set<Integer> kinds = indexes(allKnown(s, "class", Set.copyOf(classes), "class"), classes);
        Set<Integer> owners = indexes(allKnown(s, "tenant", Set.copyOf(tenants), "tenant"), tenants);
        Boolean write = s.flagOrNull("write");
        TrafficShare share = share(s.section("share"));
        KeyRewrite rewrite = rewrite(s, patterns.isEmpty() ? null : patterns.get(0));
        PlacementTemplate by =
                placeBy(s, "place_by", patterns.isEmpty() ? 0 : patterns.get(0).groups());
        Route.Action action = action(s, name);
        int order = s.integer("order", 0, -1_000_000, 1_000_000);
        s.end();
        return action == null
                ? null
                : new Route(
                        name,
                        order,
                        position,
                        from,
                        host,
                        exact,
                        prefix != null && prefix.isEmpty() ? null : prefix,
                        List.copyOf(patterns),
                        kinds,
                        owners,
                        write,
                        share,
                        rewrite,
                        by,
                        action);
    }

    /** What a placement hashes; null where it is not said. */
    static PlacementTemplate placeBy(TomlTableReader s) {
        return placeBy(s, "place_by", 0);
    }

    /** With so many groups to take from. */
    private static PlacementTemplate placeBy(TomlTableReader s, String key, int groups) {
        String text = s.text(key, null);
        try {
            PlacementTemplate by = text == null ? null : new PlacementTemplate(text);
            if (by != null && by.groups() > groups) {
                s.error(
                        key,
                        key + ": '$" + by.groups() + "' is no group; "
                                + (groups == 0
                                        ? "only routes with a regex " + "have groups"
                                        : "the route's first regex has " + groups));
            }
            return by;
        } catch (IllegalArgumentException e) {
            s.error(key, key + ": " + e.getMessage());
            return null;
        }
    }

    private List<String> allKnown(TomlTableReader s, String key, Set<String> names, String kind) {
        List<String> list = s.texts(key);
        for (String n : list) {
            if (!names.contains(n)) {
                s.error(
                        key,
                        "there is no " + kind + " '" + n + "'; there are: "
                                + String.join(", ", DaemonConfigReader.sorted(names)));
            }
        }
        return list.stream().distinct().toList();
    }

    private static Set<Integer> indexes(List<String> names, List<String> all) {
        Set<Integer> set = new HashSet<>();
        names.forEach(n -> set.add(all.indexOf(n)));
        return Set.copyOf(set);
    }

    private static TrafficShare share(TomlTableReader s) {
        if (s == null) {
            return null;
        }
        if (s.has("by") || s.has("from_hash") || s.has("to_hash")) {
            PlacementTemplate by = placeBy(s, "by", 0);
            long from = (long) s.number("from_hash", 0, 0, SplitShare.ALL);
            long to = (long) s.number("to_hash", SplitShare.ALL, 0, SplitShare.ALL);
            s.end();
            if (from >= to) {
                s.error("to_hash", "the share is empty; from_hash must be under to_hash");
                return null;
            }
            return new SplitShare(by == null ? PlacementTemplate.KEY : by, from, to);
        }
        double from = s.number("from_percent", 0, 0, 100);
        double to = s.number("to_percent", 100, 0, 100);
        String salt = s.text("salt", "");
        s.end();
        if (Math.round(from * 100) >= Math.round(to * 100)) {
            s.error("to_percent", "the share is empty; from_percent must be under to_percent");
            return null;
        }
        return new KeyShare(salt, (int) Math.round(from * 100), (int) Math.round(to * 100));
    }

    private static KeyRewrite rewrite(TomlTableReader s, KeyPattern pattern) {
        String strip = s.text("strip", null);
        String add = s.text("add", null);
        String replace = s.text("replace", null);
        if (add != null && !KeyRewrite.legal(add)) {
            s.error("add", "add puts something into keys that servers don't take; printing characters without space");
            return KeyRewrite.NONE;
        }
        if (replace != null && strip != null) {
            s.error("replace", "replace makes the whole key anew, so strip does nothing; one of them");
        }
        if (strip == null && add == null && replace == null) {
            return KeyRewrite.NONE;
        }
        try {
            return new KeyRewrite(strip, pattern, replace, add);
        } catch (IllegalArgumentException e) {
            s.error("replace", e.getMessage());
            return KeyRewrite.NONE;
        }
    }

    private Route.Action action(TomlTableReader s, String name) {
        List<String> to = s.texts("pools");
        boolean refuse = s.has("refuse_ms");
        boolean fail = s.flag("fail", false);
        if ((to.isEmpty() ? 0 : 1) + (refuse ? 1 : 0) + (fail ? 1 : 0) != 1) {
            s.error("name", "route '" + name + "' needs one of pools, refuse_ms and fail = true");
            return null;
        }
        if (refuse) {
            return new Route.Refuse(s.number("refuse_ms", 1, 1, HOUR_MS));
        }
        if (fail) {
            return new Route.Fail();
        }
        Set<String> seen = new HashSet<>();
        boolean good = true;
        for (String pool : to) {
            if (!pools.contains(pool)) {
                s.error(
                        "pools",
                        "there is no pool '" + pool + "'; there are: "
                                + String.join(", ", DaemonConfigReader.sorted(pools)));
                good = false;
            } else if (!seen.add(pool)) {
                s.error("pools", "pool '" + pool + "' falls back to itself; name each pool once");
                good = false;
            }
        }
        return good ? new Route.ToPools(List.copyOf(to)) : null;
    }
}
