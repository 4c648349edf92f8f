package cacheproxy.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * {@code [fleet]}, {@code [[fleet.peer]]} and {@code [[duty]]}: the proxies that know one another, and what one of them
 * does for all.
 *
 * @param me this proxy's name among the peers
 * @param listen where it hears the others
 * @param keys secrets, the first signs; empty: whoever sends from a peer's address is taken for it
 * @param longestLeaseMs the longest lease of any duty, the same at all proxies
 * @param probe null: each proxy tries sick servers by itself, with clients' requests
 * @param watch null: each proxy watches discovery by itself
 * @param limits of the whole fleet
 */
public record FleetConfig(
        String me,
        InetSocketAddress listen,
        List<String> keys,
        double longestLeaseMs,
        List<Peer> peers,
        List<Duty> duties,
        Probe probe,
        Watch watch,
        LimitsConfig limits) {
    private static final String WORD = "[A-Za-z0-9_.-]{1,64}";
    /** A proxy that has no watch asks discovery at least so often, whatever others say. */
    private static final double MOST_LAZY_MS = 10_000;

    private static final int MOST_PEERS = 1000;
    private static final int MOST_DUTIES = 1000;
    private static final int LEAST_KEY = 16;
    /** Names of the program's own duties begin so. */
    private static final String PROBE = "probe.";

    private static final String WATCH = "watch.";

    /**
     * A proxy of the fleet.
     *
     * @param address where the others reach it, and where what it sends comes from
     * @param zone where it stands; one proxy of each watches discovery
     * @param joining it is in the list that is being taken up, not yet in the one that is left
     * @param leaving the other way round
     */
    public record Peer(String name, InetSocketAddress address, String zone, boolean joining, boolean leaving) {}

    /** What one proxy does for all. */
    public record Duty(String name, double leaseMs, int voters) {}

    /**
     * Sick servers are tried by one proxy for all.
     *
     * @param requests whether clients' own requests are the trials, where servers take no tests; else empty commands
     *     are
     * @param shares duties among which servers are dealt out, the same at all proxies
     * @param patienceMs how long its word is waited for
     * @param reuseMs for so long an outcome is told again
     */
    public record Probe(boolean requests, double leaseMs, int voters, int shares, double patienceMs, double reuseMs) {}

    /**
     * Discovery is watched by one proxy of a zone.
     *
     * @param beatMs between two words of it
     * @param wordMs for so long a word counts
     * @param lazyMs between two calls of the others
     * @param gatherMs within which they call when the list has changed
     */
    public record Watch(double leaseMs, int voters, double beatMs, double wordMs, double lazyMs, double gatherMs) {}

    public FleetConfig {
        keys = List.copyOf(keys);
        peers = List.copyOf(peers);
        duties = List.copyOf(duties);
    }

    /** Names of the list that counts, or is being taken up. */
    public List<String> names() {
        return names(null);
    }

    /** Those of a zone; null: of all. */
    public List<String> names(String zone) {
        return peers.stream()
                .filter(p -> !p.leaving() && (zone == null || p.zone().equals(zone)))
                .map(Peer::name)
                .toList();
    }

    /** Names of the list that is being left; empty if none is. */
    public List<String> namesBefore() {
        return namesBefore(null);
    }

    /** Those of a zone; null: of all. */
    public List<String> namesBefore(String zone) {
        List<Peer> own = peers.stream()
                .filter(p -> zone == null || p.zone().equals(zone))
                .toList();
        return own.stream().noneMatch(p -> p.joining() || p.leaving())
                ? List.of()
                : own.stream().filter(p -> !p.joining()).map(Peer::name).toList();
    }

    /** The zone in which this proxy stands. */
    public String zone() {
        return peers.stream()
                .filter(p -> p.name().equals(me))
                .map(Peer::zone)
                .findFirst()
                .orElse("");
    }

    /** The duties among which sick servers are dealt out. */
    public List<String> probeDuties() {
        return probe == null
                ? List.of()
                : java.util.stream.IntStream.range(0, probe.shares())
                        .mapToObj(i -> PROBE + i)
                        .toList();
    }

    /** The duty of watching discovery for the proxies of this one's zone, for a pool. */
    public String watchDuty(String pool) {
        return WATCH + zone() + "." + pool;
    }

    static FleetConfig read(TomlTableReader root, DaemonConfigReader.Known known) {
        TomlTableReader s = root.section("fleet");
        List<TomlTableReader> duties = root.sections("duty");
        if (s == null) {
            duties.stream()
                    .findFirst()
                    .ifPresent(d -> d.error("name", "duties need [fleet] with the proxies that share them"));
            return null;
        }
        double longest = s.number("longest_lease_ms", 3000, 100, 60_000);
        List<Peer> peers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (TomlTableReader p : s.sections("peer")) {
            String name = name(p, names, "peer");
            Peer peer = new Peer(
                    name,
                    DaemonConfigReader.address(p, "address", false),
                    p.text("zone", "here"),
                    p.flag("joining", false),
                    p.flag("leaving", false));
            if (!peer.zone().matches("[A-Za-z0-9_-]{1,64}")) {
                p.error("zone", "zone '" + peer.zone() + "' is not 1 to 64 letters, digits, dashes and underscores");
            }
            if (peer.joining() && peer.leaving()) {
                p.error("joining", "a peer that is joining is not leaving");
            }
            if (!addresses.add(peer.address())) {
                p.error("address", "another peer has the address " + Addresses.text(peer.address()));
            }
            peers.add(peer);
            p.end();
        }
        String me = s.text("me");
        if (!me.isEmpty() && !names.contains(me)) {
            s.error("me", "there is no peer '" + me + "'; the list has this proxy as well");
        }
        if (peers.size() > MOST_PEERS) {
            s.error("peer", peers.size() + " peers; at most " + MOST_PEERS);
        }
        FleetConfig fleet = new FleetConfig(
                me,
                DaemonConfigReader.address(s, "listen", true),
                keys(s, known.file()),
                longest,
                peers,
                duties(duties, longest),
                probe(s.section("probe"), longest),
                watch(s.section("watch"), longest),
                LimitsConfig.read(s, known, longest));
        if (!peers.isEmpty() && fleet.names().isEmpty()) {
            s.error("peer", "all peers are leaving; at least one stays");
        }
        s.end();
        return fleet;
    }

    private static Probe probe(TomlTableReader s, double longest) {
        if (s == null) {
            return null;
        }
        Probe probe = new Probe(
                s.oneOf("by", "tests", "tests", "requests").equals("requests"),
                lease(s, longest, 1000),
                voters(s),
                s.integer("shares", 4, 1, 64),
                s.number("patience_ms", 600, 300, 10_000),
                s.number("reuse_ms", 1000, 0, 60_000));
        s.end();
        return probe;
    }

    private static Watch watch(TomlTableReader s, double longest) {
        if (s == null) {
            return null;
        }
        double beat = s.number("beat_ms", 1000, 20, MOST_LAZY_MS);
        double word = s.number("word_ms", Math.min(3 * beat, MOST_LAZY_MS), 40, MOST_LAZY_MS);
        Watch watch = new Watch(
                lease(s, longest, 1000),
                voters(s),
                beat,
                word,
                s.number("lazy_ms", MOST_LAZY_MS, 40, MOST_LAZY_MS),
                s.number("gather_ms", 300, 0, 60_000));
        if (word <= beat) {
            s.error(
                    "word_ms",
                    "word_ms is " + word + " and no longer than beat_ms: each lost word would have all watch");
        }
        if (watch.lazyMs() < word) {
            s.error("lazy_ms", "lazy_ms is " + watch.lazyMs() + " and shorter than word_ms, " + word);
        }
        s.end();
        return watch;
    }

    static double lease(TomlTableReader s, double longest, double usual) {
        return s.number("lease_ms", Math.min(usual, longest), 100, longest);
    }

    static int voters(TomlTableReader s) {
        int voters = s.integer("voters", 5, 1, 9);
        if (voters % 2 == 0) {
            s.error(
                    "voters",
                    "voters is " + voters + "; an odd number is wanted, one more voter makes no majority safer");
        }
        return voters;
    }

    private static List<Duty> duties(List<TomlTableReader> sections, double longest) {
        List<Duty> duties = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlTableReader d : sections) {
            String name = name(d, names, "duty");
            if (name.startsWith(PROBE) || name.startsWith(WATCH) || name.startsWith(LimitsConfig.DUTY)) {
                d.error(
                        "name",
                        "names that begin with " + PROBE + " or " + WATCH + " or " + LimitsConfig.DUTY
                                + " are the program's own; take another");
            }
            duties.add(new Duty(name, lease(d, longest, 2000), voters(d)));
            d.end();
        }
        if (duties.size() > MOST_DUTIES) {
            sections.get(0).error("name", duties.size() + " duties; at most " + MOST_DUTIES);
        }
        return duties;
    }

    static String name(TomlTableReader s, Set<String> names, String what) {
        String name = s.text("name");
        if (!name.isEmpty() && !name.matches(WORD)) {
            s.error("name", what + " name '" + name + "' is not 1 to 64 letters, digits, dots, dashes and underscores");
        } else if (!name.isEmpty() && !names.add(name)) {
            s.error("name", "there is another " + what + " '" + name + "'");
        }
        return name;
    }

    /** A line each; the first signs. */
    private static List<String> keys(TomlTableReader s, String file) {
        String text = s.text("key_file", null);
        if (text == null) {
            return List.of();
        }
        Path path = Path.of(file).toAbsolutePath().resolveSibling(text);
        try {
            List<String> keys = Files.readAllLines(path, StandardCharsets.UTF_8).stream()
                    .map(String::strip)
                    .filter(l -> !l.isEmpty())
                    .toList();
            if (keys.isEmpty() || keys.size() > 2 || keys.stream().anyMatch(k -> k.length() < LEAST_KEY)) {
                s.error(
                        "key_file",
                        path + " has " + keys.size() + " keys; one or two lines of at least " + LEAST_KEY
                                + " characters are wanted");
                return List.of();
            }
            return keys;
        } catch (IOException e) {
            s.error("key_file", path + " can't be read");
            return List.of();
        }
    }

    /** What is allowed and yet unwise, for {@code check}. */
    public List<String> warnings() {
        return keys.isEmpty()
                ? List.of("[fleet] has no key_file: whoever can send from a peer's address can take its duties")
                : List.of();
    }
}
