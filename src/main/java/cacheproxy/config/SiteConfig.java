package cacheproxy.config;

/**
 * {@code [site]}: settings of the whole installation.
 *
 * @param proxyIndex this proxy's index among the proxies of the tier, from 0
 * @param proxyCount number of proxies that share the servers
 * @param zone this proxy's zone
 * @param drainGraceMs how long requests may still be sent to a server that is leaving
 * @param startCapacity fraction of its capacity that a server has right after its start, 0 to 1
 * @param warmUpMs how long a server takes to warm up; 0 if all are warm at once
 * @param tipMultiple a server that is warming up fails if it is sent this multiple of its capacity for {@code fallMs}
 */
public record SiteConfig(
        String name,
        int proxyIndex,
        int proxyCount,
        String zone,
        double drainGraceMs,
        double startCapacity,
        double warmUpMs,
        double tipMultiple,
        double fallMs) {
    private static final int MAX_PROXIES = 10_000;

    /** Reads the section; if it is absent, the defaults apply. */
    static SiteConfig read(TomlTableReader root) {
        TomlTableReader table = root.tableOrEmpty("site");
        int proxyCount = table.integer("instances", 1, 1, MAX_PROXIES);
        SiteConfig site = new SiteConfig(
                table.text("name", "coralbay"),
                table.integer("me", 0, 0, proxyCount - 1),
                proxyCount,
                table.text("zone", "here"),
                table.number("drain_grace_ms", 2000, 100, ConfigValues.HOUR_MS),
                table.number("start_capacity", 0.3, 0.01, 1),
                table.number("warm_up_ms", 9000, 0, ConfigValues.HOUR_MS),
                table.number("tip_multiple", 3, 1.5, 100),
                table.number("fall_ms", 1500, 100, ConfigValues.HOUR_MS));
        table.rejectUnknownKeys();
        return site;
    }
}
