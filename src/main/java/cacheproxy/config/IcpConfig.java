package cacheproxy.config;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * {@code [icp]}: queries to siblings, and answers to theirs, by the Internet Cache Protocol (RFC 2186).
 *
 * @param urlPrefix with a key behind it, the URL of a query
 * @param listener where siblings fetch, whose routes say which pool answers for a key; null if no query is answered
 *     with a hit
 * @param rememberedKeys keys remembered as answered lately, a power of two
 * @param rememberMs for how long
 * @param maxPendingQueries queries without an answer yet
 * @param maxQueriesPerSecond queries, and answers, a second
 */
public record IcpConfig(
        InetSocketAddress address,
        String urlPrefix,
        String listener,
        int rememberedKeys,
        double rememberMs,
        int maxPendingQueries,
        double maxQueriesPerSecond) {
    private static final Pattern URL_PREFIX = Pattern.compile("[!-~]{1,1000}");
    private static final int MIN_KEYS = 8;
    private static final int MAX_KEYS = 1 << 22;
    private static final int MAX_QUERIES = 1 << 20;

    /** Null if the file has no such section. */
    static IcpConfig read(TomlTableReader root, ConfigReferences references) {
        TomlTableReader table = root.table("icp");
        if (table == null) {
            return null;
        }
        int keys = table.integer("keys", 65_536, MIN_KEYS, MAX_KEYS);
        if (Integer.bitCount(keys) != 1) {
            table.error("keys", "keys is " + keys + "; a power of two is wanted");
            keys = MIN_KEYS;
        }
        String urlPrefix = table.text("url_prefix", "http://coralbay/");
        if (!URL_PREFIX.matcher(urlPrefix).matches()) {
            table.error("url_prefix", "url_prefix is 1 to 1000 printing characters without space");
        }
        IcpConfig icp = new IcpConfig(
                ConfigValues.listenAddress(table, "address"),
                urlPrefix,
                table.reference("listener", references.listeners(), "listener"),
                keys,
                table.number("hold_ms", 60_000, 100, 24 * ConfigValues.HOUR_MS),
                table.integer("questions", 1024, 1, MAX_QUERIES),
                table.number("per_second", 2000, 1, 1e9));
        table.rejectUnknownKeys();
        return icp;
    }
}
