package cacheproxy.faulttest;

import cacheproxy.config.ConfigException;
import cacheproxy.config.TomlTableReader;
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
 * Reads a scenario's file, finds all that is wrong with it, and draws the lots that it asks for: what comes out names
 * each fault.
 */
public final class ScenarioReader {
    private static final double HOUR_MS = 3_600_000;
    private static final int MOST_FAULTS = 10_000;

    private ScenarioReader() {}

    /**
     * Reads a scenario file.
     *
     * @param seed instead of the file's; null: the file's
     */
    public static Scenario read(Path path, Long seed) throws ConfigException {
        try {
            return parse(path.toString(), Files.readString(path), seed);
        } catch (IOException e) {
            throw ConfigException.of(List.of(path + ":1:1: can't be read: " + e));
        }
    }

    public static Scenario parse(String name, String text, Long seed) throws ConfigException {
        return TomlTableReader.parse(name, text, root -> scenario(name, root, seed));
    }

    private static Scenario scenario(String name, TomlTableReader root, Long given) {
        TomlTableReader f = root.table("fleet");
        if (f == null) {
            root.error("fleet", "no [fleet]; write one with proxies and nodes");
            return null;
        }
        int proxies = f.integer("proxies", 5, 1, 1000);
        int nodes = f.integer("nodes", 8, 1, 1000);
        List<String> zones = f.has("zones") ? f.texts("zones") : List.of("a");
        if (zones.isEmpty() || zones.stream().anyMatch(z -> !z.matches("[a-z0-9]{1,16}"))) {
            f.error("zones", "zones are words of a-z and 0-9, at least one");
            zones = List.of("a");
        }
        TargetSelector endpoints = new TargetSelector(proxies, nodes, zones);
        int own = f.integer("seed", 1, 0, Integer.MAX_VALUE);
        long seed = given != null ? given : own;
        Scenario bare = new Scenario(
                name,
                f.oneOf("program", "serve", "serve", "run"),
                proxies,
                nodes,
                zones,
                seed,
                f.number("node_per_second", 500, 1, 1e5),
                f.integer("node_room", 20, 1, 100_000),
                f.flag("warm", true),
                f.flag("relay_nodes", false),
                f.flag("own_discovery", false),
                f.text("extra", ""),
                f.has("old") ? choose(f, "old", endpoints, new SplittableRandom(seed)) : List.of(),
                f.text("old_extra", ""),
                f.texts("duties"),
                f.number("poll_ms", 20, 5, 10_000),
                f.integer("waves", 16, 1, 200),
                load(root.table("load")),
                limit(root.table("limit")),
                List.of());
        f.rejectUnknownKeys();
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        for (TomlTableReader s : root.tables("fault")) {
            fault(s, endpoints, random.split(), faults);
            s.rejectUnknownKeys();
        }
        TomlTableReader chaos = root.table("chaos");
        if (chaos != null) {
            chaos(chaos, endpoints, seed, bare.load().seconds() * 1000, faults);
            chaos.rejectUnknownKeys();
        }
        if (faults.size() > MOST_FAULTS) {
            root.error("fault", faults.size() + " faults; at most " + MOST_FAULTS);
        }
        return bare.withFaults(faults);
    }

    private static Scenario.Quota limit(TomlTableReader s) {
        if (s == null) {
            return null;
        }
        Scenario.Quota limit = new Scenario.Quota(
                s.oneOf("kind", "read", "read", "keyed", "unsafe"),
                s.number("per_second", 0, 0.001, 1e7),
                s.integer("at_once", 0, 1, 1_000_000),
                s.number("saved", 0, 0, 1e7));
        if (limit.perSecond() > 0 == limit.maxInFlight() > 0) {
            s.error("kind", "a limit has either per_second or at_once");
        }
        s.rejectUnknownKeys();
        return limit;
    }

    private static Scenario.Load load(TomlTableReader s) {
        if (s == null) {
            return new Scenario.Load(5, 200, 0, 0, 500, 0.05, 0.05, 1000);
        }
        Scenario.Load load = new Scenario.Load(
                s.number("seconds", 5, 0.1, 24 * 3600),
                s.number("per_second", 200, 0.1, 1e6),
                s.number("skew", 0, 0, 20),
                s.number("turn_ms", 0, 0, HOUR_MS),
                s.integer("keys", 500, 1, 1_000_000),
                s.number("hot", 0.05, 0, 1),
                s.number("writes", 0.05, 0, 1),
                s.number("deadline_ms", 1000, 10, 60_000));
        s.rejectUnknownKeys();
        return load;
    }

    private static void fault(
            TomlTableReader s, TargetSelector endpoints, SplittableRandom random, List<Fault> faults) {
        Kind kind = kind(s, s.text("kind"), "kind");
        double at = s.number("at_ms", 0, 0, 24 * HOUR_MS);
        double lasts = s.number("for_ms", 1000, 1, 24 * HOUR_MS);
        String holderOf = s.text("holder_of", "");
        List<String> who = !holderOf.isEmpty() && !s.has("who")
                ? List.of(TargetSelector.proxyName(0))
                : choose(s, "who", endpoints, random);
        List<String> to = List.of();
        LinkFault figures = null;
        boolean twoWay = false;
        if (kind == Kind.LINK) {
            to = s.has("to") ? choose(s, "to", endpoints, random) : rest(who, endpoints);
            twoWay = s.flag("two_way", true);
            figures = new LinkFault(
                    s.number("lose", 0, 0, 1),
                    s.number("delay_ms", 0, 0, 60_000),
                    s.number("jitter_ms", 0, 0, 60_000),
                    s.number("twice", 0, 0, 1),
                    s.number("corrupt", 0, 0, 1),
                    s.flag("reset", false));
        }
        double share = kind == Kind.SLOW ? s.number("share", 0.1, 0.01, 0.99) : 1;
        double beat = kind == Kind.SLOW ? s.number("beat_ms", 50, 5, 10_000) : 0;
        boolean loseDisk = (kind == Kind.TERMINATE || kind == Kind.KILL) && s.flag("lose_disk", false);
        Fault f = new Fault(
                kind,
                at,
                lasts,
                who,
                to,
                twoWay,
                figures,
                share,
                beat,
                loseDisk,
                s.number("stagger_ms", 0, 0, HOUR_MS),
                holderOf);
        if (who.stream().anyMatch(n -> !f.onLinks() && n.charAt(0) != (f.onServers() ? 'n' : 'p'))) {
            s.error("who", kind.tomlName() + " befalls " + (f.onServers() ? "nodes" : "proxies") + " alone");
        }
        int times = s.integer("times", 1, 1, MOST_FAULTS);
        double every = s.number("every_ms", 10_000, 1, HOUR_MS);
        for (int i = 0; i < times; i++) {
            faults.add(f.withTimeAndTargets(at + i * every, f.targets(), f.linkPeers()));
        }
    }

    /** What a link's fault lies between where the file does not say: the chosen ones and all other proxies. */
    private static List<String> rest(List<String> who, TargetSelector endpoints) {
        List<String> rest = new ArrayList<>(endpoints.select("proxies", new SplittableRandom(0)));
        rest.removeAll(who);
        return rest;
    }

    private static List<String> choose(
            TomlTableReader s, String key, TargetSelector endpoints, SplittableRandom random) {
        String words = s.text(key);
        try {
            return words.isEmpty() ? List.of() : endpoints.select(words, random);
        } catch (IllegalArgumentException e) {
            s.error(key, e.getMessage());
            return List.of();
        }
    }

    private static Kind kind(TomlTableReader s, String word, String key) {
        for (Kind k : Kind.values()) {
            if (k.tomlName().equals(word)) {
                return k;
            }
        }
        if (!word.isEmpty()) {
            s.error(
                    key,
                    "there is no fault '" + word + "'; allowed: "
                            + String.join(
                                    ", ",
                                    Arrays.stream(Kind.values())
                                            .map(Kind::tomlName)
                                            .toList()));
        }
        return Kind.PAUSE;
    }

    private static void chaos(
            TomlTableReader s, TargetSelector endpoints, long seed, double loadMs, List<Fault> faults) {
        List<Kind> kinds = new ArrayList<>();
        s.texts("kinds").forEach(k -> kinds.add(kind(s, k, "kinds")));
        double from = s.number("from_ms", 0, 0, 24 * HOUR_MS);
        double to = s.number("to_ms", loadMs, 1, 24 * HOUR_MS);
        double longest = s.number("longest_ms", 1000, 1, 24 * HOUR_MS);
        int count = s.integer("faults", 10, 0, MOST_FAULTS);
        if (to - from < longest) {
            s.error("longest_ms", "longest_ms is " + longest + " and does not fit between from_ms and to_ms");
            return;
        }
        faults.addAll(new RandomFaults(count, kinds.isEmpty() ? List.of(Kind.values()) : kinds, from, to, longest)
                .draw(endpoints, seed));
    }
}
