package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.process.PlatformConfig;
import cacheproxy.proxy.process.Proxy;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A proxy on loopback, with the servers that a test configures and clients of the proxy. */
public final class Fleet implements AutoCloseable {
    @SuppressWarnings("StringConcatToTextBlock") // one line of text per source line
    static final String SETTINGS = String.join(
            "\n",
            "balancers=1",
            "me=0",
            "locality=0",
            "zones=east,west",
            "kinds=node-fast,origin",
            "discovery=ask",
            "report.how=silent",
            "report.names=",
            "value-by=request",
            "over-share-worth=0.1",
            "caps.may-cancel=true",
            "caps.may-probe=false",
            "caps.peers=true",
            "caps.second-copies=true",
            "caps.retry-after=true",
            "caps.max-attempts=3",
            "caps.max-retry-after=500.0",
            "caps.connect-timeout=2000.0",
            "caps.idle-close=30000.0",
            "caps.streams-per-conn=128",
            "extra.mode=aside",
            "extra.origin-kind=1",
            "guarantees.drain-grace=2000.0",
            "guarantees.grace-to-answer=20.0",
            "guarantees.start-capacity=0.3",
            "guarantees.warm-up=9000.0",
            "guarantees.tip-multiple=3.0",
            "guarantees.fall=1500.0",
            "guarantees.ask-within=10000.0",
            "classes.count=3",
            "classes.0.name=text",
            "classes.0.idempotency=retryable",
            "classes.0.promise=20000.0",
            "classes.0.deadline=30000.0",
            "classes.0.gain=1.0",
            "classes.0.late-share=0.2",
            "classes.0.stream=false",
            "classes.1.name=fix",
            "classes.1.idempotency=fragile",
            "classes.1.promise=20000.0",
            "classes.1.deadline=30000.0",
            "classes.1.gain=5.0",
            "classes.1.late-share=0.3",
            "classes.1.stream=false",
            "classes.2.name=publish",
            "classes.2.idempotency=dedup",
            "classes.2.group=all",
            "classes.2.window=1500.0",
            "classes.2.promise=20000.0",
            "classes.2.deadline=30000.0",
            "classes.2.gain=10.0",
            "classes.2.late-share=0.2",
            "classes.2.stream=false");

    /** Until when the memory for clients that are gone must have been released. */
    private static final int MEMORY_RELEASE_SECONDS = 10;

    private static final int SLOW_CLIENT_BUFFER_BYTES = 4 << 10;

    public final JsonObject config = new JsonObject();
    public final List<AutoCloseable> closeables = new ArrayList<>();
    public final JsonArray hosts = new JsonArray();
    public Proxy proxy;

    public Fleet() {
        config.addProperty("name", "n0");
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:9");
        config.addProperty("seed", "8c1f30d27a5be964");
        settings(SETTINGS);
    }

    Fleet settings(String lines) {
        JsonObject settings = new JsonObject();
        for (String line : lines.split("\n", 0)) {
            settings.addProperty(line.substring(0, line.indexOf('=')), line.substring(line.indexOf('=') + 1));
        }
        config.add("settings", settings);
        return this;
    }

    public Fleet set(String path, String value) {
        config.getAsJsonObject("settings").addProperty(path, value);
        return this;
    }

    /** One entry of an endpoint list of discovery. */
    public static JsonObject host(String name, String kind, String dial, String health) {
        JsonObject host = new JsonObject();
        host.addProperty("host", name);
        host.addProperty("dial", dial);
        host.addProperty("site", "east");
        host.addProperty("class", kind);
        host.addProperty("block", 0);
        host.addProperty("health", health);
        host.addProperty("share", 1.0);
        host.addProperty("born_ms", 0);
        return host;
    }

    public static JsonObject list(long seq, boolean whole, JsonArray hosts) {
        JsonObject list = new JsonObject();
        list.addProperty("seq", seq);
        list.addProperty("whole", whole);
        list.add("hosts", hosts);
        return list;
    }

    public Fleet node(ScriptedServer server) {
        hosts.add(host("s-%08x".formatted(hosts.size() + 1), "node-fast", server.dial(), "up"));
        closeables.add(server);
        return this;
    }

    public Fleet node(String dial) {
        hosts.add(host("s-%08x".formatted(hosts.size() + 1), "node-fast", dial, "up"));
        return this;
    }

    public Fleet origin(ScriptedServer server) {
        hosts.add(host("s-0000aaaa", "origin", server.dial(), "up"));
        closeables.add(server);
        return this;
    }

    public Fleet discovery(ScriptedServer server) {
        config.addProperty("discovery", server.dial());
        closeables.add(server);
        return this;
    }

    public Fleet start() throws InterruptedException {
        config.add("known", list(41, true, hosts));
        proxy = Proxy.start(PlatformConfig.parse(config));
        return this;
    }

    /**
     * Holds the proxy's event loop until the returned latch is counted down. The loop then finds everything that peers
     * have done in the meantime at once.
     */
    CountDownLatch holdEventLoop() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        proxy.runAfter(0, () -> {
            held.countDown();
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        return go;
    }

    /** A read, as a line to send together with other commands. */
    public static String readCommand(String id) {
        return "mg 7f3a9c21e0b4d655 v O" + id + " Pc=text,d=20000\r\n";
    }

    /** Waits until the proxy has this number of pending requests; the test's time limit interrupts the wait. */
    public void awaitPendingRequests(int expected) {
        for (int count; (count = proxy.pendingRequests()) != expected; ) {
            assertThat(Thread.interrupted())
                    .as("time limit reached with %s pending requests instead of %s", count, expected)
                    .isFalse();
        }
    }

    /** Waits until nothing is held in memory for clients, which are gone. */
    private void awaitNoHeldMemory() {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(MEMORY_RELEASE_SECONDS);
        while (proxy.heldBytes() > 0 && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertThat(proxy.heldBytes()).as(proxy.memorySummary()).isZero();
    }

    public Client client() throws IOException {
        return client(new Socket());
    }

    /** A client whose system takes hardly any bytes that the client has not read, so that the proxy has to wait. */
    public Client slowClient() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SLOW_CLIENT_BUFFER_BYTES);
        return client(socket);
    }

    private Client client(Socket socket) throws IOException {
        Client client = new Client(socket, proxy.address());
        closeables.add(client);
        return client;
    }

    @Override
    public void close() throws Exception {
        if (proxy != null) {
            String invariants = proxy.invariantSummary();
            for (AutoCloseable closeable : closeables) {
                closeable.close();
            }
            awaitNoHeldMemory();
            proxy.close();
            assertThat(invariants).as("invariants").startsWith("violations=0 ");
        }
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
    }

    /** A client with a blocking socket. */
    public static final class Client implements Closeable {
        final Socket socket;
        private final InputStream in;

        Client(Socket socket, InetSocketAddress to) throws IOException {
            this.socket = socket;
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), to.getPort()));
            socket.setSoTimeout(25_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        public Client send(String text) throws IOException {
            return send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        public Client send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return this;
        }

        public Client read(String id) throws IOException {
            return send(readCommand(id));
        }

        /** The next line without its line end; null at the end of the stream. */
        public String line() throws IOException {
            return ScriptedServer.readLine(in);
        }

        public byte[] bytes(int n) throws IOException {
            return in.readNBytes(n);
        }

        /** Whether the end of the stream is next; blocks until bytes or the end arrive. */
        public boolean ended() throws IOException {
            return in.read() < 0;
        }

        /** Closes this side of the connection only. */
        public void closeOutput() throws IOException {
            socket.shutdownOutput();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
