package cacheproxy.daemon;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/** A daemon in front of fake servers, with a configuration that a test composes. */
public final class DaemonHarness implements AutoCloseable {
    /** Makes the daemon retry failed servers soon, and tell clients to retry soon. */
    public static final String LIMITS = "[limits]\nconnect_timeout_ms = 50\nmax_retry_after_ms = 5\n";

    public static final String CLASSES = """
            [[class]]
            name = "page"
            effect = "safe"
            aim_ms = 10000
            deadline_ms = 20000
            [[class]]
            name = "publish"
            effect = "keyed"
            window_ms = 60000
            aim_ms = 10000
            deadline_ms = 20000
            [[class]]
            name = "submit"
            effect = "unsafe"
            aim_ms = 10000
            deadline_ms = 20000
            """;
    public static final String MAIN_LISTENER = listener("main", "127.0.0.1:0");

    final FakeFleet fleet;
    public final Daemon daemon;

    public DaemonHarness(FakeFleet fleet, String file) throws Exception {
        this.fleet = fleet;
        daemon = Daemon.start(DaemonConfigReader.parse("rig", file), 7);
    }

    public static String listener(String name, String address) {
        return "[[listen]]\nname = \"" + name + "\"\naddress = \"" + address
                + "\"\nopen = true\nclass = \"page\"\nwrite_class = \"submit\"\n";
    }

    /** A pool of these servers, named by their ports, with the fleet's origin. */
    public static String pool(String name, FakeFleet fleet, String keys, FakeCacheServer... servers) {
        return "[[pool]]\nname = \"" + name + "\"\n" + keys + "\n" + servers("", servers)
                + "[pool.origin]\nname = \"store\"\n" + "dial = \"" + fleet.origin.dial() + "\"\n";
    }

    /** A pool of plain cache servers without an origin. */
    static String poolWithoutOrigin(String name, String keys, FakeCacheServer... servers) {
        return "[[pool]]\nname = \"" + name + "\"\nnodes = \"plain\"\n" + keys + "\n" + servers("", servers);
    }

    static String servers(String keys, FakeCacheServer... servers) {
        StringBuilder text = new StringBuilder();
        for (FakeCacheServer server : servers) {
            text.append("[[pool.server]]\nname = \"")
                    .append(serverName(server))
                    .append("\"\ndial = \"")
                    .append(server.dial())
                    .append("\"\n")
                    .append(keys)
                    .append('\n');
        }
        return text.toString();
    }

    static String serverName(FakeCacheServer server) {
        return "node:" + server.address().getPort();
    }

    public static String route(String name, String keys, String... pools) {
        return "[[route]]\nname = \"" + name + "\"\n" + keys + "\npools = [\"" + String.join("\", \"", pools) + "\"]\n";
    }

    public void load(String file) throws Exception {
        daemon.load(DaemonConfigReader.parse("rig", file));
    }

    LoadClient.LoadResult sendRequests(
            int total, int connections, int depth, IntFunction<LoadClient.LoadRequest> requests) throws Exception {
        return new LoadClient(fleet.loop(), daemon.address("main"), total, requests)
                .start(connections, depth)
                .get(100, TimeUnit.SECONDS);
    }

    public static LoadClient.LoadRequest read(String key) {
        return new LoadClient.LoadRequest(key, "", null, null);
    }

    public ManualClient connect() throws IOException {
        return new ManualClient(daemon.address("main"));
    }

    @Override
    public void close() {
        daemon.close();
        fleet.close();
    }

    /** A client connection on which a test sends commands and reads responses itself. */
    public static final class ManualClient implements AutoCloseable {
        final Socket socket;
        private final InputStream input;

        ManualClient(InetSocketAddress to) throws IOException {
            socket = new Socket(to.getAddress(), to.getPort());
            socket.setSoTimeout(60_000);
            input = new BufferedInputStream(socket.getInputStream());
        }

        public ManualClient send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Reads a line; null at the end of the stream. */
        public String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int byteRead; (byteRead = input.read()) != '\n'; ) {
                if (byteRead < 0) {
                    return null;
                }
                if (byteRead != '\r') {
                    line.append((char) byteRead);
                }
            }
            return line.toString();
        }

        public List<String> lines(int count) throws IOException {
            List<String> lines = new java.util.ArrayList<>();
            for (int i = 0; i < count; i++) {
                lines.add(line());
            }
            return lines;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
