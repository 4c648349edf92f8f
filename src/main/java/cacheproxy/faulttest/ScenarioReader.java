package cacheproxy.faulttest;

import cacheproxy.config.ConfigException;
import cacheproxy.config.TomlTableReader;
import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.Fault.Kind;
import cacheproxy.faulttest.scenario.Fault.LinkFault;
import cacheproxy.faulttest.scenario.RandomFaults;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Reads a scenario file, reports all errors in it, and makes its random draws, so that each fault names its targets.
 */
public final class ScenarioReader {
    private static final double HOUR_MS = 3_600_000;
    private static final double DAY_MS = 24 * HOUR_MS;
    private static final int MAX_FAULTS = 10_000;
    private static final String ZONE_NAME = "[a-z0-9]{1,16}";

    /** What random faults are drawn from where the file names no kinds: what it could name first. */
    private static final List<Kind> DEFAULT_RANDOM_KINDS = Arrays.stream(Kind.values())
            .filter(kind -> kind != Kind.SERVER_RESTART)
            .toList();

    private ScenarioReader() {}

    /**
     * Reads a scenario file.
     *
     * @param seed replaces the file's seed; null keeps it
     * @throws ConfigException with all errors and their places
     */
    public static Scenario read(Path path, Long seed) throws ConfigException {
        try {
            return parse(path.toString(), Files.readString(path), seed);
        } catch (IOException e) {
            throw ConfigException.of(List.of(path + ":1:1: can't be read: " + e));
        }
    }

    /**
     * Reads a scenario from the text of its file.
     *
     * @param name the scenario's name, which error messages contain as well
     * @param seed replaces the text's seed; null keeps it
     * @throws ConfigException with all errors and their places
     */
    public static Scenario parse(String name, String text, Long seed) throws ConfigException {
        return TomlTableReader.parse(name, text, root -> readScenario(name, root, seed));
    }

    private static Scenario readScenario(String name, TomlTableReader root, Long givenSeed) {
        TomlTableReader fleet = root.table("fleet");
        if (fleet == null) {
            root.error("fleet", "there is no table [fleet]; add one with proxies and nodes");
            return null;
        }
        Scenario scenario = readFleet(name, root, fleet, givenSeed);
        fleet.rejectUnknownKeys();
        return scenario.withFaults(readFaults(root, scenario));
    }

    private static Scenario readFleet(String name, TomlTableReader root, TomlTableReader fleet, Long givenSeed) {
        int proxies = fleet.integer("proxies", 5, 1, 1000);
        int servers = fleet.integer("nodes", 8, 1, 1000);
        List<String> zones = readZones(fleet);
        int fileSeed = fleet.integer("seed", 1, 0, Integer.MAX_VALUE);
        long seed = givenSeed != null ? givenSeed : fileSeed;
        TargetSelector endpoints = new TargetSelector(proxies, servers, zones);
        return new Scenario(
                name,
                fleet.oneOf("program", "serve", "serve", "run"),
                proxies,
                servers,
                zones,
                seed,
                fleet.number("node_per_second", 500, 1, 1e5),
                fleet.integer("node_room", 20, 1, 100_000),
                fleet.flag("warm", true),
                fleet.flag("relay_nodes", false),
                fleet.flag("own_discovery", false),
                fleet.text("extra", ""),
                fleet.has("old") ? select(fleet, "old", endpoints, new SplittableRandom(seed)) : List.of(),
                fleet.text("old_extra", ""),
                fleet.texts("duties"),
                fleet.number("poll_ms", 20, 5, 10_000),
                fleet.integer("waves", 16, 1, 200),
                readSlowStart(root.table("slow_start")),
                readJudgedCheckers(fleet),
                readLoad(root.table("load")),
                readQuota(root.table("limit")),
                List.of());
    }

    private static List<String> readZones(TomlTableReader fleet) {
        List<String> zones = fleet.has("zones") ? fleet.texts("zones") : List.of("a");
        if (zones.isEmpty() || zones.stream().anyMatch(zone -> !zone.matches(ZONE_NAME))) {
            fleet.error("zones", "zones must list at least one name, each of 1 to 16 characters a-z and 0-9");
            return List.of("a");
        }
        return zones;
    }

    private static Scenario.SlowStart readSlowStart(TomlTableReader table) {
        Scenario.SlowStart standard = Scenario.SlowStart.DEFAULT;
        if (table == null) {
            return standard;
        }
        Scenario.SlowStart slowStart = new Scenario.SlowStart(
                table.number("start_capacity", standard.startCapacity(), 0.01, 1),
                table.number("warm_up_ms", standard.warmUpMs(), 0, HOUR_MS),
                table.number("multiple", standard.multiple(), 1.5, 100),
                table.number("window_ms", standard.windowMs(), 100, HOUR_MS));
        table.rejectUnknownKeys();
        return slowStart;
    }

    private static List<String> readJudgedCheckers(TomlTableReader fleet) {
        List<String> known = Checker.all().stream().map(Checker::name).toList();
        List<String> names = fleet.texts("must_judge");
        if (!known.containsAll(names)) {
            fleet.error("must_judge", "must_judge names invariants; allowed: " + String.join(", ", known));
        }
        return names;
    }

    private static Scenario.Quota readQuota(TomlTableReader table) {
        if (table == null) {
            return null;
        }
        Scenario.Quota quota = new Scenario.Quota(
                table.oneOf("kind", "read", "read", "keyed", "unsafe"),
                table.number("per_second", 0, 0.001, 1e7),
                table.integer("at_once", 0, 1, 1_000_000),
                table.number("saved", 0, 0, 1e7));
        if (quota.perSecond() > 0 == quota.maxInFlight() > 0) {
            table.error("kind", "a limit needs exactly one of per_second and at_once");
        }
        table.rejectUnknownKeys();
        return quota;
    }

    private static Scenario.Load readLoad(TomlTableReader table) {
        if (table == null) {
            return new Scenario.Load(5, 200, 0, 0, 500, 0.05, 0.05, 1000, 0, 0);
        }
        Scenario.Load load = new Scenario.Load(
                table.number("seconds", 5, 0.1, 24 * 3600),
                table.number("per_second", 200, 0.1, 1e6),
                table.number("skew", 0, 0, 20),
                table.number("turn_ms", 0, 0, HOUR_MS),
                table.integer("keys", 500, 1, 1_000_000),
                table.number("hot", 0.05, 0, 1),
                table.number("writes", 0.05, 0, 1),
                table.number("deadline_ms", 1000, 10, 60_000),
                table.integer("retries", 0, 0, 100),
                table.number("retry_ms", 0, 0, 60_000));
        table.rejectUnknownKeys();
        return load;
    }

    private static List<Fault> readFaults(TomlTableReader root, Scenario scenario) {
        TargetSelector endpoints = scenario.targetSelector();
        SplittableRandom random = new SplittableRandom(scenario.seed());
        List<Fault> faults = new ArrayList<>();
        for (TomlTableReader table : root.tables("fault")) {
            faults.addAll(readRepeatedFault(table, endpoints, random.split()));
            table.rejectUnknownKeys();
        }
        TomlTableReader chaos = root.table("chaos");
        if (chaos != null) {
            faults.addAll(readRandomFaults(chaos, endpoints, scenario));
            chaos.rejectUnknownKeys();
        }
        if (faults.size() > MAX_FAULTS) {
            root.error("fault", faults.size() + " faults; at most " + MAX_FAULTS);
        }
        return faults;
    }

    private static List<Fault> readRepeatedFault(
            TomlTableReader table, TargetSelector endpoints, SplittableRandom random) {
        Fault fault = readFault(table, endpoints, random);
        char targetLetter = fault.hitsServers() ? 'n' : 'p';
        if (!fault.hitsLinks() && fault.targets().stream().anyMatch(name -> name.charAt(0) != targetLetter)) {
            table.error(
                    "who",
                    fault.kind().tomlName() + " can hit " + (fault.hitsServers() ? "nodes" : "proxies") + " only");
        }
        int times = table.integer("times", 1, 1, MAX_FAULTS);
        double periodMs = table.number("every_ms", 10_000, 1, HOUR_MS);
        List<Fault> repeated = new ArrayList<>();
        for (int i = 0; i < times; i++) {
            repeated.add(fault.withTimeAndTargets(fault.atMs() + i * periodMs, fault.targets(), fault.linkPeers()));
        }
        return repeated;
    }

    private static Fault readFault(TomlTableReader table, TargetSelector endpoints, SplittableRandom random) {
        Kind kind = readKind(table, "kind", table.text("kind"));
        double atMs = table.number("at_ms", 0, 0, DAY_MS);
        double durationMs = table.number("for_ms", 1000, 1, DAY_MS);
        String holderOf = table.text("holder_of", "");
        List<String> targets = !holderOf.isEmpty() && !table.has("who")
                ? List.of(TargetSelector.proxyName(0))
                : select(table, "who", endpoints, random);
        boolean onLinks = kind == Kind.LINK;
        List<String> linkPeers = onLinks ? readLinkPeers(table, targets, endpoints, random) : List.of();
        boolean twoWay = onLinks && table.flag("two_way", true);
        LinkFault linkFault = onLinks ? readLinkFault(table) : null;
        boolean slow = kind == Kind.SLOW;
        double speedShare = slow ? table.number("share", 0.1, 0.01, 0.99) : 1;
        double cycleMs = slow ? table.number("beat_ms", 50, 5, 10_000) : 0;
        boolean emptyDisk = (kind == Kind.TERMINATE || kind == Kind.KILL) && table.flag("lose_disk", false);
        double staggerMs = table.number("stagger_ms", 0, 0, HOUR_MS);
        return new Fault(
                kind,
                atMs,
                durationMs,
                targets,
                linkPeers,
                twoWay,
                linkFault,
                speedShare,
                cycleMs,
                emptyDisk,
                staggerMs,
                holderOf);
    }

    /** The other ends of the links; by default all proxies that are not targets. */
    private static List<String> readLinkPeers(
            TomlTableReader table, List<String> targets, TargetSelector endpoints, SplittableRandom random) {
        if (table.has("to")) {
            return select(table, "to", endpoints, random);
        }
        List<String> others = new ArrayList<>(endpoints.select("proxies", new SplittableRandom(0)));
        others.removeAll(targets);
        return others;
    }

    private static LinkFault readLinkFault(TomlTableReader table) {
        return new LinkFault(
                table.number("lose", 0, 0, 1),
                table.number("delay_ms", 0, 0, 60_000),
                table.number("jitter_ms", 0, 0, 60_000),
                table.number("twice", 0, 0, 1),
                table.number("corrupt", 0, 0, 1),
                table.flag("reset", false));
    }

    private static List<String> select(
            TomlTableReader table, String key, TargetSelector endpoints, SplittableRandom random) {
        String expression = table.text(key);
        try {
            return expression.isEmpty() ? List.of() : endpoints.select(expression, random);
        } catch (IllegalArgumentException e) {
            table.error(key, e.getMessage());
            return List.of();
        }
    }

    private static Kind readKind(TomlTableReader table, String key, String tomlName) {
        for (Kind kind : Kind.values()) {
            if (kind.tomlName().equals(tomlName)) {
                return kind;
            }
        }
        if (!tomlName.isEmpty()) {
            List<String> allowed =
                    Arrays.stream(Kind.values()).map(Kind::tomlName).toList();
            table.error(key, "there is no fault '" + tomlName + "'; allowed: " + String.join(", ", allowed));
        }
        return Kind.PAUSE;
    }

    private static List<Fault> readRandomFaults(TomlTableReader table, TargetSelector endpoints, Scenario scenario) {
        List<Kind> kinds = new ArrayList<>();
        table.texts("kinds").forEach(tomlName -> kinds.add(readKind(table, "kinds", tomlName)));
        double loadMs = scenario.load().seconds() * 1000;
        double fromMs = table.number("from_ms", 0, 0, DAY_MS);
        double toMs = table.number("to_ms", loadMs, 1, DAY_MS);
        double maxDurationMs = table.number("longest_ms", 1000, 1, DAY_MS);
        int count = table.integer("faults", 10, 0, MAX_FAULTS);
        if (toMs - fromMs < maxDurationMs) {
            table.error("longest_ms", "longest_ms is " + maxDurationMs + " and does not fit between from_ms and to_ms");
            return List.of();
        }
        List<Kind> drawnKinds = kinds.isEmpty() ? DEFAULT_RANDOM_KINDS : kinds;
        return new RandomFaults(count, drawnKinds, fromMs, toMs, maxDurationMs).draw(endpoints, scenario.seed());
    }
}
