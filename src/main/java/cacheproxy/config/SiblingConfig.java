package cacheproxy.config;

import cacheproxy.placement.ServerId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * {@code [icp]} and {@code [[sibling]]}: other fleets' proxies that are asked before the origin.
 *
 * @param icp null: none are asked or answered
 */
public record SiblingConfig(Icp icp, List<Sibling> siblings) {
    private static final SiblingConfig NONE = new SiblingConfig(null, List.of());

    /**
     * Where siblings are asked from and answered at, by ICP.
     *
     * @param urlPrefix with the key behind it, the URL in ICP
     * @param listener where siblings fetch; its routes say which pool answers for a key; null: no question is answered
     *     with a hit
     * @param keys that are remembered as answered lately, a power of two
     * @param holdMs for so long
     * @param questions out at once
     * @param perSecond questions, and answers, a second, at most
     */
    public record Icp(
            InetSocketAddress address,
            String urlPrefix,
            String listener,
            int keys,
            double holdMs,
            int questions,
            double perSecond) {}

    /**
     * Another proxy's fleet.
     *
     * @param icp where it is asked, and from where it asks
     * @param fetch its listener for fetches
     * @param className the class that it has for them
     */
    public record Sibling(String name, int id, InetSocketAddress icp, InetSocketAddress fetch, String className) {}

    /** What a file says of them; never null. */
    public static SiblingConfig of(DaemonConfig file) {
        SiblingConfig s = file.part(SiblingConfig.class);
        return s == null ? NONE : s;
    }

    /** A sibling by its name. */
    public Sibling sibling(String name) {
        return siblings.stream().filter(s -> s.name().equals(name)).findFirst().orElseThrow();
    }

    static SiblingConfig read(TomlTableReader root, DaemonConfigReader.Known known) {
        List<Sibling> siblings = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<Integer> ids = new HashSet<>();
        for (TomlTableReader s : root.sections("sibling")) {
            siblings.add(sibling(known, s, names, ids));
        }
        Icp icp = icp(known, root.section("icp"));
        if (icp == null && !siblings.isEmpty()) {
            known.errors().add(null, "siblings are asked by ICP; write [icp] with an address");
        }
        known.pools().values().forEach(p -> pool(p, known.poolSections().get(p.name()), names));
        return icp == null && siblings.isEmpty() ? null : new SiblingConfig(icp, List.copyOf(siblings));
    }

    private static Sibling sibling(
            DaemonConfigReader.Known known, TomlTableReader s, Set<String> names, Set<Integer> ids) {
        String name = DaemonConfigReader.name(s, names, "sibling");
        int id = ServerId.fromName("sibling/" + name);
        if (known.serverNames().containsKey(id) || !ids.add(id)) {
            s.error(
                    "name",
                    "sibling '" + name + "' has the number of another server, " + Integer.toHexString(id)
                            + "; rename one");
        }
        String className = s.text("class");
        if (!className.isEmpty() && !DaemonConfigReader.word(className)) {
            s.error("class", "class '" + className + "' is no word");
        }
        Sibling sibling = new Sibling(
                name,
                id,
                DaemonConfigReader.address(s, "icp", false),
                DaemonConfigReader.address(s, "fetch", false),
                className);
        s.end();
        return sibling;
    }

    private static void pool(DaemonConfig.Pool pool, TomlTableReader s, Set<String> known) {
        for (String n : pool.siblings()) {
            if (!known.contains(n)) {
                s.error(
                        "siblings",
                        "there is no sibling '" + n + "'; there are: "
                                + String.join(", ", DaemonConfigReader.sorted(known)));
            }
        }
        if (!pool.siblings().isEmpty() && pool.origin() == null) {
            s.error("siblings", "siblings are asked before a pool's own origin, and this pool has none in the file");
        }
    }

    private static Icp icp(DaemonConfigReader.Known known, TomlTableReader s) {
        if (s == null) {
            return null;
        }
        int keys = s.integer("keys", 65_536, 8, 1 << 22);
        if (Integer.bitCount(keys) != 1) {
            s.error("keys", "keys is " + keys + "; a power of two is wanted");
            keys = 8;
        }
        String prefix = s.text("url_prefix", "http://coralbay/");
        if (!prefix.matches("[!-~]{1,1000}")) {
            s.error("url_prefix", "url_prefix is 1 to 1000 printing characters without space");
        }
        Icp icp = new Icp(
                DaemonConfigReader.address(s, "address", true),
                prefix,
                DaemonConfigReader.known(s, "listener", known.listeners(), "listener"),
                keys,
                s.number("hold_ms", 60_000, 100, 24 * DaemonConfigReader.HOUR_MS),
                s.integer("questions", 1024, 1, 1 << 20),
                s.number("per_second", 2000, 1, 1e9));
        s.end();
        return icp;
    }
}
