package cacheproxy.config;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * {@code [icp]}: queries to siblings, and answers to the queries of siblings, by the Internet Cache Protocol (RFC
 * 2186).
 *
 * @param urlPrefix prefix that, followed by a key, is the URL of a query
 * @param listener listener from which siblings fetch; its routes determine the pool of a queried key. Null if no query
 *     is answered with a hit
 * @param rememberedKeys number of recently answered keys to remember, a power of two
 * @param rememberMs how long a key is remembered
 * @param maxPendingQueries maximum number of queries that wait for an answer
 * @param maxQueriesPerSecond maximum number of queries, and of answers, per second
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

    /** Reads the section; returns null if the file has none. */
    static IcpConfig read(TomlTableReader root, ConfigReferences references) {
        TomlTableReader table = root.table("icp");
        if (table == null) {
            return null;
        }
        int keys = table.integer("keys", 65_536, MIN_KEYS, MAX_KEYS);
        if (Integer.bitCount(keys) != 1) {
            table.error("keys", "keys is " + keys + "; it must be a power of two");
            keys = MIN_KEYS;
        }
        String urlPrefix = table.text("url_prefix", "http://coralbay/");
        if (!URL_PREFIX.matcher(urlPrefix).matches()) {
            table.error("url_prefix", "url_prefix must be 1 to 1000 printable characters without space");
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
