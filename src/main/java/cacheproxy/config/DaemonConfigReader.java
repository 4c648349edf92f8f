package cacheproxy.config;

import cacheproxy.config.DaemonConfig.Discovery;
import cacheproxy.config.DaemonConfig.Limits;
import cacheproxy.config.DaemonConfig.Listen;
import cacheproxy.config.DaemonConfig.Pool;
import cacheproxy.config.DaemonConfig.Server;
import cacheproxy.config.DaemonConfig.Site;
import cacheproxy.placement.NginxConsistentPlacement;
import cacheproxy.placement.PlacementRegistry;
import cacheproxy.placement.ServerId;
import cacheproxy.policy.PolicyApi.Effect;
import cacheproxy.policy.PolicyApi.Group;
import cacheproxy.policy.PolicyApi.ServiceClass;
import cacheproxy.policy.PolicyApi.Tenant;
import cacheproxy.routes.KeyFormat;
import cacheproxy.routes.RouteTable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the daemon's file and finds everything that is wrong with it, not only the first. */
public final class DaemonConfigReader {
    /** A file of 10,000 routes has some 2 MB; bounds what a wrong path can make us read. */
    static final long MAX_BYTES = 32L << 20;

    static final double HOUR_MS = 3_600_000;

    /** Sections that their subsystems bring with them, each a class of its own. */
    private static final List<PartReader> PARTS = List.of(
            (root, known) -> ControlConfig.read(root),
            FleetConfig::read,
            SnapshotConfig::read,
            HookConfig::read,
            SiblingConfig::read);

    /** Reads one subsystem's sections; null where the file has none. */
    interface PartReader {
        Object read(TomlTableReader root, Known known);
    }

    /**
     * What a subsystem's sections may refer to.
     *
     * @param file the file's path
     * @param serverNames by the servers' numbers
     */
    record Known(
            String file,
            TomlTableReader.Errors errors,
            Set<String> listeners,
            Set<String> routes,
            Map<String, Pool> pools,
            Map<String, TomlTableReader> poolSections,
            Map<Integer, String> serverNames,
            List<ServiceClass> classes,
            List<Tenant> tenants) {

        /** A path in the file is relative to the file's own directory. */
        Path beside(TomlTableReader s, String key, String text) {
            try {
                Path parent = Path.of(file).toAbsolutePath().getParent();
                return parent == null ? Path.of(text) : parent.resolve(text);
            } catch (java.nio.file.InvalidPathException e) {
                s.error(key, key + " is no path of a file");
                return Path.of("");
            }
        }
    }

    private final TomlTableReader.Errors errors;
    private final List<ServiceClass> classes = new ArrayList<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Map<String, TomlTableReader> poolSections = new HashMap<>();
    private final List<Listen> listeners = new ArrayList<>();
    /** Servers of all pools, by name and by address: one server has one of each. */
    private final Map<String, Server> serversByName = new HashMap<>();

    private final Map<InetSocketAddress, String> namesByAddress = new HashMap<>();
    private final Map<Integer, String> namesById = new HashMap<>();

    private DaemonConfigReader(TomlTableReader.Errors errors) {
        this.errors = errors;
    }

    /** Reads and checks; the exception has one line for each error. */
    public static DaemonConfig read(Path path) throws ConfigException {
        String text;
        try {
            if (Files.size(path) > MAX_BYTES) {
                throw new ConfigException(List.of(path + ":1:1: the file has more than " + MAX_BYTES + " bytes"));
            }
            text = Files.readString(path);
        } catch (NoSuchFileException e) {
            throw new ConfigException(List.of(path + ":1:1: there is no such file"));
        } catch (CharacterCodingException e) {
            throw new ConfigException(List.of(path + ":1:1: the file is not UTF-8 text"));
        } catch (IOException e) {
            throw new ConfigException(List.of(path + ":1:1: can't be read: " + e.getMessage()));
        }
        return parse(path.toString(), text);
    }

    /** The same for a text; {@code name} stands for the file in errors. */
    public static DaemonConfig parse(String name, String text) throws ConfigException {
        return TomlTableReader.parse(name, text, root -> new DaemonConfigReader(root.errors()).file(name, root));
    }

    static String oneLine(String message) {
        return String.valueOf(message).replaceAll("\\s+", " ");
    }

    private DaemonConfig file(String path, TomlTableReader root) {
        Site site = site(root.section("site"));
        KeyFormat keys = switch (root.oneOf("keys", "text", "text", "path", "path-and-query")) {
            case "path" -> KeyFormat.PATH;
            case "path-and-query" -> KeyFormat.PATH_AND_QUERY;
            default -> KeyFormat.TEXT;
        };
        Limits limits = limits(root.section("limits"));
        root.sections("class").forEach(this::serviceClass);
        root.sections("tenant").forEach(this::tenant);
        root.sections("listen").forEach(this::listen);
        root.sections("pool").forEach(this::pool);
        List<TomlTableReader> routes = root.sections("route");
        if (classes.isEmpty()) {
            errors.add(null, "no class; write [[class]] with a name, an effect and times");
        }
        if (listeners.isEmpty()) {
            errors.add(null, "no listener; write [[listen]] with a name and an address");
        }
        if (pools.isEmpty()) {
            errors.add(null, "no pool; write [[pool]] with a name and servers");
        }
        fallbacks();
        RouteTable table = new RouteReader(errors, listenerNames, classes, tenants, pools.keySet())
                .table(root.sections("host"), routes, keys);
        Set<String> routeNames = new HashSet<>();
        table.routes().forEach(r -> routeNames.add(r.name()));
        Known known = new Known(
                path,
                errors,
                Set.copyOf(listenerNames),
                routeNames,
                Map.copyOf(pools),
                Map.copyOf(poolSections),
                Map.copyOf(namesById),
                List.copyOf(classes),
                List.copyOf(tenants));
        Map<Class<?>, Object> parts = new HashMap<>();
        PARTS.forEach(p -> {
            Object part = p.read(root, known);
            if (part != null) {
                parts.put(part.getClass(), part);
            }
        });
        return new DaemonConfig(path, site, keys, limits, classes, tenants, listeners, pools, table, Map.copyOf(parts));
    }

    private Site site(TomlTableReader s) {
        if (s == null) {
            return new Site("coralbay", 0, 1, "here", 2000, 0.3, 9000, 3, 1500);
        }
        int instances = s.integer("instances", 1, 1, 10_000);
        Site site = new Site(
                s.text("name", "coralbay"),
                s.integer("me", 0, 0, instances - 1),
                instances,
                s.text("zone", "here"),
                s.number("drain_grace_ms", 2000, 100, HOUR_MS),
                s.number("start_capacity", 0.3, 0.01, 1),
                s.number("warm_up_ms", 9000, 0, HOUR_MS),
                s.number("tip_multiple", 3, 1.5, 100),
                s.number("fall_ms", 1500, 100, HOUR_MS));
        s.end();
        return site;
    }

    private Limits limits(TomlTableReader s) {
        if (s == null) {
            return new Limits(512, 4096, 250, 15_000, 3, 1000, true, 100);
        }
        Limits limits = new Limits(
                s.integer("memory_mb", 512, 32, 1 << 20),
                s.integer("sockets", 4096, 256, 1 << 24),
                s.number("connect_timeout_ms", 250, 10, 60_000),
                s.number("idle_close_ms", 15_000, 1000, HOUR_MS),
                s.integer("max_attempts", 3, 1, 8),
                s.number("max_retry_after_ms", 1000, 0, HOUR_MS),
                s.flag("second_copies", true),
                s.number("unknown_capacity", 100, 1, 1e6));
        s.end();
        return limits;
    }

    static boolean word(String text) {
        return !text.isEmpty()
                && text.length() <= 64
                && text.chars().allMatch(c -> c > ' ' && c <= '~' && c != ',' && c != '=');
    }

    /** The name of a table; it ends up in lists of names and values, so it may not break them. */
    static String name(TomlTableReader s, Set<String> taken, String kind) {
        String name = s.text("name");
        if (!name.isEmpty() && !word(name)) {
            s.error(
                    "name",
                    kind + " name '" + name + "' is no word; 1 to 64 printing characters without space, comma and =");
        }
        if (!name.isEmpty() && !taken.add(name)) {
            s.error("name", kind + " '" + name + "' is there already; names are used once");
        }
        return name;
    }

    private final Set<String> classNames = new HashSet<>();

    private void serviceClass(TomlTableReader s) {
        String name = name(s, classNames, "class");
        String effect = s.oneOf("effect", "unsafe", "safe", "keyed", "unsafe");
        if (!s.has("effect")) {
            s.error(
                    "name",
                    "class " + name + " has no effect; allowed: safe (may be repeated), keyed (servers drop "
                            + "repeats), unsafe (must never run twice)");
        }
        double deadline = s.number("deadline_ms", 1000, 1, HOUR_MS);
        double aim = s.number("aim_ms", deadline / 2, 1, HOUR_MS);
        if (aim > deadline) {
            s.error("aim_ms", "aim_ms is " + (long) aim + ", more than the deadline; at most " + (long) deadline);
        }
        boolean keyed = effect.equals("keyed");
        double window = s.number("window_ms", 0, 1, HOUR_MS);
        if (keyed && window == 0) {
            s.error("effect", "a keyed class needs window_ms, for which servers drop repeats");
        }
        Effect e = keyed ? Effect.KEYED : effect.equals("safe") ? Effect.SAFE : Effect.UNSAFE;
        classes.add(new ServiceClass(
                name,
                e,
                Group.ALL,
                keyed ? window : 0,
                aim,
                deadline,
                s.number("worth", 1, 0, 1e6),
                s.number("late_share", 0.3, 0, 1),
                s.flag("stream", false)));
        s.end();
    }

    private final Set<String> tenantNames = new HashSet<>();

    private void tenant(TomlTableReader s) {
        tenants.add(new Tenant(
                name(s, tenantNames, "tenant"), s.number("share", 1, 0, 1e9), s.number("per_second", 1, 0.001, 1e9)));
        s.end();
    }

    /** @param any whether port 0 is allowed: the system's choice */
    static InetSocketAddress address(TomlTableReader s, String key, boolean any) {
        String text = s.text(key);
        if (text.isEmpty()) {
            return new InetSocketAddress(0);
        }
        try {
            InetSocketAddress a = Addresses.of(text);
            if (!any && a.getPort() == 0) {
                s.error(key, key + " '" + text + "' has port 0; a server's port is 1 to 65535");
            }
            return a;
        } catch (IllegalArgumentException e) {
            s.error(key, e.getMessage() + "; write it as 127.0.0.1:11211 or [::1]:11211, names are not looked up");
            return new InetSocketAddress(0);
        }
    }

    private final Set<String> listenerNames = new HashSet<>();

    private void listen(TomlTableReader s) {
        String name = name(s, listenerNames, "listener");
        InetSocketAddress address = address(s, "address", true);
        for (Listen l : listeners) {
            if (address.getPort() != 0 && address.equals(l.address())) {
                s.error("address", "listener " + l.name() + " has the same address; one each");
            }
        }
        s.oneOf("protocol", "meta", "meta");
        boolean open = s.flag("open", false);
        String readClass = known(s, "class", classNames, "class");
        String writeClass = known(s, "write_class", classNames, "class");
        String tenant = known(s, "tenant", tenantNames, "tenant");
        double deadline = s.number("deadline_ms", 0, 1, HOUR_MS);
        if (open && readClass == null) {
            s.error("open", "an open listener needs class, for plain reads");
        }
        if (!open) {
            for (String key : new String[] {"class", "write_class", "tenant", "deadline_ms"}) {
                if (s.has(key)) {
                    s.error(key, key + " is for open listeners; on others each request names its own. Set open = true");
                }
            }
        }
        listeners.add(new Listen(name, address, open, readClass, writeClass, tenant, deadline));
        s.end();
    }

    /** A name that must be one of those; null where it is absent. */
    static String known(TomlTableReader s, String key, Set<String> names, String kind) {
        String value = s.text(key, null);
        if (value != null && !names.contains(value)) {
            s.error(key, "there is no " + kind + " '" + value + "'; there are: " + String.join(", ", sorted(names)));
        }
        return value;
    }

    static List<String> sorted(Set<String> names) {
        return names.stream().sorted().toList();
    }

    private void pool(TomlTableReader s) {
        String name = name(s, new HashSet<>(pools.keySet()), "pool");
        List<Server> servers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlTableReader server : s.sections("server")) {
            servers.add(server(server, names, "cache"));
        }
        TomlTableReader o = s.section("origin");
        Server origin = o == null ? null : server(o, names, "origin");
        if (origin != null && (origin.backup() || origin.down() || origin.drain())) {
            o.error("dial", "an origin can't be backup, down or drain; leave the key out");
        }
        Discovery discovery = discovery(s.section("discovery"));
        if (discovery == null && servers.isEmpty()) {
            s.error("name", "pool " + name + " has no server; write [[pool.server]] or discovery");
        } else if (discovery == null && servers.stream().allMatch(v -> v.down() || v.drain())) {
            s.error("name", "every server of pool " + name + " is down or drains; at least one must be up");
        } else if (discovery == null && servers.stream().allMatch(Server::backup)) {
            s.error("name", "every server of pool " + name + " is a backup; at least one must not be");
        }
        if (discovery != null && !(servers.isEmpty() && origin == null)) {
            s.error("discovery", "pool " + name + " has both discovery and servers; the list comes from one of them");
        }
        String placement = s.oneOf(
                "placement",
                PlacementRegistry.CARP,
                PlacementRegistry.CARP,
                PlacementRegistry.NGINX_HASH,
                PlacementRegistry.NGINX_CONSISTENT);
        if (!placement.equals(PlacementRegistry.CARP)) {
            nginxPlacement(s, placement, servers, discovery);
        }
        pools.put(
                name,
                new Pool(
                        name,
                        servers,
                        origin,
                        discovery,
                        placement,
                        RouteReader.placeBy(s),
                        s.integer("connections", 4, 1, 1000),
                        s.integer("origin_connections", 16, 1, 1000),
                        s.integer("streams", 64, 1, 10_000),
                        s.integer("in_hand", 10_000, 1, 1_000_000),
                        s.number("per_second", 0, 0.1, 1e9),
                        s.number("retry_share", 0.2, 0, 10),
                        s.number("retries_always", 5, 0, 1e6),
                        s.oneOf("nodes", "platform", "platform", "plain").equals("plain"),
                        s.text("dedup_group", null),
                        s.text("fallback", null),
                        s.texts("siblings")));
        poolSections.put(name, s);
        s.end();
    }

    /** What nginx's placements ask of a pool. */
    private static void nginxPlacement(TomlTableReader s, String placement, List<Server> servers, Discovery discovery) {
        if (discovery != null) {
            s.error(
                    "placement",
                    placement + " depends on the order of servers in the file, which discovery does not "
                            + "have; allowed: carp");
        }
        double sum = 0;
        for (Server v : servers) {
            sum += v.weight();
            if (v.weight() < 1 || v.weight() != Math.rint(v.weight())) {
                s.error(
                        "placement",
                        "server " + v.name() + " has a weight that " + placement
                                + " has no place for; whole numbers from 1");
            }
        }
        if (sum > NginxConsistentPlacement.MAX_WEIGHT_SUM) {
            s.error(
                    "placement",
                    "the weights sum to " + (long) sum + "; at most " + NginxConsistentPlacement.MAX_WEIGHT_SUM
                            + " with " + placement);
        }
    }

    private Server server(TomlTableReader s, Set<String> inPool, String kind) {
        String name = name(s, inPool, "server");
        // What is down is not dialled; its place in nginx's placements is all that it is there for.
        boolean undialled = s.flag("down", false) && !s.has("dial");
        InetSocketAddress dial = undialled ? null : address(s, "dial", false);
        int id = ServerId.fromName(name);
        String other = namesById.putIfAbsent(id, name);
        if (other != null && !other.equals(name)) {
            s.error(
                    "name",
                    "server '" + name + "' has the number of '" + other + "', " + Integer.toHexString(id)
                            + "; rename one");
        }
        String zone = s.text("zone", "here");
        Server server = new Server(
                name,
                id,
                dial,
                zone,
                s.text("kind", kind),
                s.number("weight", 1, 0, 1e6),
                s.flag("backup", false),
                s.flag("down", false),
                s.flag("drain", false),
                s.flag("warm", false),
                s.number("capacity", 0, 0.1, 1e9),
                s.text("ring", name));
        if (undialled) {
            s.end();
            return server;
        }
        String sameAddress = namesByAddress.putIfAbsent(dial, name);
        if (sameAddress != null && !sameAddress.equals(name) && dial.getPort() != 0) {
            s.error(
                    "dial",
                    Addresses.text(dial) + " is server '" + sameAddress
                            + "' already; a server has one name, also in several pools");
        }
        Server same = serversByName.putIfAbsent(name, server);
        if (same != null && !dial.equals(same.dial())) {
            s.error(
                    "dial",
                    "server '" + name + "' stands at " + Addresses.text(same.dial())
                            + " in another pool; a name has one address");
        }
        s.end();
        return server;
    }

    private Discovery discovery(TomlTableReader s) {
        if (s == null) {
            return null;
        }
        List<String> kinds = s.texts("kinds");
        String originKind = s.text("origin_kind", null);
        if (kinds.isEmpty()) {
            s.error("kinds", "discovery needs kinds, the classes of machine that its list names");
        }
        if (originKind != null && !kinds.contains(originKind)) {
            s.error("origin_kind", "origin_kind '" + originKind + "' is none of kinds: " + String.join(", ", kinds));
        }
        List<String> sites = s.texts("zones");
        if (sites.isEmpty()) {
            s.error("zones", "discovery needs zones, the sites that its list names");
        }
        Discovery d = new Discovery(address(s, "address", false), sites, kinds, originKind);
        s.end();
        return d;
    }

    private void fallbacks() {
        for (Pool p : pools.values()) {
            if (p.fallback() == null) {
                continue;
            }
            TomlTableReader s = poolSections.get(p.name());
            if (!pools.containsKey(p.fallback())) {
                s.error(
                        "fallback",
                        "there is no pool '" + p.fallback() + "'; there are: "
                                + String.join(", ", sorted(pools.keySet())));
                continue;
            }
            List<String> way = new ArrayList<>(List.of(p.name()));
            for (Pool next = p; next != null && next.fallback() != null; ) {
                boolean loop = way.contains(next.fallback());
                way.add(next.fallback());
                if (loop) {
                    if (next.fallback().equals(p.name())) { // told once by each pool of the loop, at its own line
                        s.error("fallback", "fallbacks go round: " + String.join(" -> ", way) + "; leave one out");
                    }
                    break;
                }
                next = pools.get(next.fallback());
            }
        }
    }
}
