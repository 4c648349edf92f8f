package cacheproxy.bench;

import cacheproxy.config.Addresses;
import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.FakeCacheServer;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/** Builds a daemon's configuration file table by table, in the file's own order. */
final class BenchConfig {
    /** How soon requests of the benches' classes are to be answered, in milliseconds. */
    static final int AIM_MS = 250;

    private static final int DEADLINE_MS = 1000;
    private static final String EPHEMERAL_ADDRESS = "127.0.0.1:0";

    private final StringBuilder text = new StringBuilder();

    /** Starts a table, such as {@code [site]} or {@code [[pool]]}. */
    BenchConfig table(String header) {
        text.append(header).append('\n');
        return this;
    }

    /** Adds a string to the last table. */
    BenchConfig string(String key, String value) {
        text.append(key).append(" = \"").append(value).append("\"\n");
        return this;
    }

    /** Adds an integer to the last table. */
    BenchConfig number(String key, long value) {
        text.append(key).append(" = ").append(value).append('\n');
        return this;
    }

    /** Adds a list of one string to the last table. */
    BenchConfig list(String key, String value) {
        text.append(key).append(" = [\"").append(value).append("\"]\n");
        return this;
    }

    /** Adds an address to the last table. */
    BenchConfig address(String key, InetSocketAddress value) {
        return string(key, Addresses.text(value));
    }

    /** A service class with an effect as the file names it. */
    BenchConfig serviceClass(String name, String effect) {
        return table("[[class]]")
                .string("name", name)
                .string("effect", effect)
                .number("aim_ms", AIM_MS)
                .number("deadline_ms", DEADLINE_MS);
    }

    /** A listener on an ephemeral port that takes standard commands, with {@code page} as the class of reads. */
    BenchConfig openListener(String name) {
        table("[[listen]]").string("name", name).string("address", EPHEMERAL_ADDRESS);
        text.append("open = true\n");
        return string("class", "page");
    }

    /** A pool; its servers follow. */
    BenchConfig pool(String name) {
        return table("[[pool]]").string("name", name);
    }

    /** A pool of one plain server, and a route of all requests to it. */
    BenchConfig singleServer(String serverName, FakeCacheServer server) {
        return pool("a")
                .string("nodes", "plain")
                .server(serverName, server.dial())
                .routeAll();
    }

    /** A server of the last pool. */
    BenchConfig server(String name, String dial) {
        return table("[[pool.server]]").string("name", name).string("dial", dial);
    }

    /** Servers of the last pool, named by their ports. */
    BenchConfig servers(Iterable<FakeCacheServer> servers) {
        for (FakeCacheServer server : servers) {
            server("n" + server.address().getPort(), server.dial());
        }
        return this;
    }

    /** The last pool's origin. */
    BenchConfig origin(String name, String dial) {
        return table("[pool.origin]").string("name", name).string("dial", dial);
    }

    /** A route of all requests to pool {@code a}. */
    BenchConfig routeAll() {
        return table("[[route]]").string("name", "all").list("pools", "a");
    }

    /** A hook of all listeners, unless a listener follows. */
    BenchConfig hook(String name, Path module) {
        return table("[[hook]]")
                .string("name", name)
                .string("module", module.toAbsolutePath().toString());
    }

    /** The file's text. */
    String text() {
        return text.toString();
    }

    /** Starts a daemon with this configuration in this process. */
    Daemon start(long seed) throws ConfigException, InterruptedException {
        return Daemon.start(DaemonConfigReader.parse("bench", text()), seed);
    }
}
