package cacheproxy.config;

import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteConditions;
import cacheproxy.routes.RouteTable;
import cacheproxy.routes.TrafficShare;
import cacheproxy.routes.VirtualHosts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Reads the routes ({@code [[route]]}) and the hosts that they can name. Everything else that they name must have been
 * read before.
 */
final class RouteReader {
    private static final int MAX_PATTERNS = 4;
    private static final int MAX_ORDER = 1_000_000;

    private final ConfigErrors errors;
    private final Set<String> listeners;
    private final List<String> classes;
    private final List<String> tenants;
    private final Set<String> pools;
    private final HostReader hostReader;
    private final Set<String> names = new HashSet<>();

    /** Creates a reader of routes that can refer to these listeners, classes, tenants and pools. */
    RouteReader(
            ConfigErrors errors,
            KeyFormat keys,
            Set<String> listeners,
            List<ServiceClass> classes,
            List<Tenant> tenants,
            Set<String> pools) {
        this.errors = errors;
        this.listeners = listeners;
        this.classes = classes.stream().map(ServiceClass::name).toList();
        this.tenants = tenants.stream().map(Tenant::name).toList();
        this.pools = pools;
        hostReader = new HostReader(listeners, keys);
    }

    /** Reads all hosts and routes of the file. */
    RouteTable read(List<TomlTableReader> hostTables, List<TomlTableReader> tables) {
        int errorsBefore = errors.count();
        VirtualHosts hosts = new VirtualHosts(hostReader.read(hostTables));
        List<Route> routes = new ArrayList<>();
        Map<String, TomlTableReader> tablesByName = new HashMap<>();
        for (TomlTableReader table : tables) {
            Route route = readRoute(table, routes.size());
            if (route != null) {
                routes.add(route);
                tablesByName.put(route.name(), table);
            }
        }
        if (tables.isEmpty()) {
            errors.add(null, "no route; write [[route]] with a name and pools");
        }
        RouteTable routeTable = new RouteTable(routes, hosts);
        if (errors.count() == errorsBefore) {
            routeTable.shadowedRoutes().forEach(shadowed -> rejectUnreachable(shadowed, tablesByName));
        }
        return routeTable;
    }

    private static void rejectUnreachable(
            RouteTable.ShadowedRoute shadowed, Map<String, TomlTableReader> tablesByName) {
        String name = shadowed.route().name();
        tablesByName
                .get(name)
                .error(
                        "name",
                        "route '" + name + "' is never reached: '"
                                + shadowed.shadowedBy().name() + "' takes all of its requests before; give it a "
                                + "lower order, or leave it out");
    }

    /** Reads one route; returns null if it has no valid action, which is reported. */
    private Route readRoute(TomlTableReader table, int position) {
        String name = ConfigValues.uniqueName(table, names, "route");
        RouteConditions conditions = readConditions(table, name);
        List<KeyPattern> patterns = conditions.patterns();
        KeyPattern firstPattern = patterns.isEmpty() ? null : patterns.get(0);
        KeyRewrite rewrite = readRewrite(table, firstPattern);
        PlacementTemplate placeBy =
                PlacementTemplates.read(table, "place_by", firstPattern == null ? 0 : firstPattern.groupCount());
        Route.Action action = readAction(table, name);
        int order = table.integer("order", 0, -MAX_ORDER, MAX_ORDER);
        table.rejectUnknownKeys();
        if (action == null) {
            return null;
        }
        return new Route(name, order, position, conditions, rewrite, placeBy, action);
    }

    private RouteConditions readConditions(TomlTableReader table, String name) {
        String key = table.text("key", null);
        String prefix = table.text("prefix", null);
        checkKeyAndPrefix(table, name, key, prefix);
        List<KeyPattern> patterns = readPatterns(table);
        String host = table.reference("host", hostReader.names(), "host");
        Set<String> listenerNames = Set.copyOf(table.references("listener", listeners, "listener"));
        Set<Integer> classIndexes = indexes(table.references("class", classes, "class"), classes);
        Set<Integer> tenantIndexes = indexes(table.references("tenant", tenants, "tenant"), tenants);
        Boolean write = table.flagOrNull("write");
        TrafficShare share = TrafficShareReader.read(table);
        return new RouteConditions(
                listenerNames,
                host,
                key,
                prefix == null || prefix.isEmpty() ? null : prefix,
                patterns,
                classIndexes,
                tenantIndexes,
                write,
                share);
    }

    private static void checkKeyAndPrefix(TomlTableReader table, String name, String key, String prefix) {
        if (key != null && prefix != null) {
            table.error("name", "route '" + name + "' has key and prefix; one at most");
        }
        if (key != null && !KeyRewrite.isLegalKey(key)) {
            table.error("key", "no request has this key; keys have 1 to 250 printable characters without space");
        }
        if (prefix != null && !prefix.isEmpty() && !KeyRewrite.isLegalKey(prefix)) {
            table.error("prefix", "no key begins with this; keys have 1 to 250 printable characters without space");
        }
    }

    private static List<KeyPattern> readPatterns(TomlTableReader table) {
        List<String> regexes = table.texts("regex");
        if (regexes.size() > MAX_PATTERNS) {
            table.error("regex", regexes.size() + " patterns; at most " + MAX_PATTERNS + " in one route");
        }
        List<KeyPattern> patterns = new ArrayList<>();
        for (String regex : regexes) {
            KeyPattern pattern = KeyPatterns.compile(table, "regex", regex);
            if (pattern != null) {
                patterns.add(pattern);
            }
        }
        return List.copyOf(patterns);
    }

    private static Set<Integer> indexes(List<String> names, List<String> all) {
        return names.stream().map(all::indexOf).collect(Collectors.toUnmodifiableSet());
    }

    private static KeyRewrite readRewrite(TomlTableReader table, KeyPattern pattern) {
        String strip = table.text("strip", null);
        String add = table.text("add", null);
        String replace = table.text("replace", null);
        if (add != null && !KeyRewrite.isLegalKey(add)) {
            table.error(
                    "add", "add puts characters into keys that servers reject; use printable characters without space");
            return KeyRewrite.NONE;
        }
        if (replace != null && strip != null) {
            table.error("replace", "replace rewrites the whole key, so strip has no effect; use one of them");
        }
        if (strip == null && add == null && replace == null) {
            return KeyRewrite.NONE;
        }
        try {
            return new KeyRewrite(strip, pattern, replace, add);
        } catch (IllegalArgumentException e) {
            table.error("replace", e.getMessage());
            return KeyRewrite.NONE;
        }
    }

    /** Reads the action of a route; returns null after an error. */
    private Route.Action readAction(TomlTableReader table, String name) {
        List<String> poolNames = table.texts("pools");
        boolean refuse = table.has("refuse_ms");
        boolean fail = table.flag("fail", false);
        int actionCount = (poolNames.isEmpty() ? 0 : 1) + (refuse ? 1 : 0) + (fail ? 1 : 0);
        if (actionCount != 1) {
            table.error("name", "route '" + name + "' needs one of pools, refuse_ms and fail = true");
            return null;
        }
        if (refuse) {
            return new Route.Reject(table.number("refuse_ms", 1, 1, ConfigValues.HOUR_MS));
        }
        return fail ? new Route.Fail() : readPools(table, poolNames);
    }

    private Route.Action readPools(TomlTableReader table, List<String> poolNames) {
        Set<String> seen = new HashSet<>();
        boolean valid = true;
        for (String pool : poolNames) {
            if (!table.checkReference("pools", pool, pools, "pool")) {
                valid = false;
            } else if (!seen.add(pool)) {
                table.error("pools", "pool '" + pool + "' falls back to itself; name each pool once");
                valid = false;
            }
        }
        return valid ? new Route.ToPools(List.copyOf(poolNames)) : null;
    }
}
