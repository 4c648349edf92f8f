import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, small sockets, discovery, and the proxy as the deploy file starts it. */
final class Rig implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final long START = System.nanoTime();

    final Path root;
    final Path temporary;
    private final PrintWriter record;
    private final List<AutoCloseable> open = new ArrayList<>();
    private Process proxy;

    /** @param recordFile record.txt in the folder of the case */
    Rig(String recordFile) throws IOException {
        Path file = Path.of(recordFile).toAbsolutePath().normalize();
        root = file.getParent().getParent().getParent();
        temporary = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        record = new PrintWriter(new BufferedWriter(Files.newBufferedWriter(file)));
    }

    /** Whether the disruption is played; the run without it must hold. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void sleep(double ms) {
        try {
            TimeUnit.NANOSECONDS.sleep((long) (ms * 1e6));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts a daemon thread. */
    static Thread thread(Body body) {
        Thread thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (IOException e) {
                // the other side has ended the connection
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws IOException, InterruptedException;
    }

    /** Writes a line to the record. */
    void note(String line) {
        synchronized (record) {
            record.printf("%9.1f %s%n", now(), line);
        }
    }

    /** Writes a line to the record and to standard output. */
    void say(String line) {
        note(line);
        System.out.println(line);
    }

    <T extends AutoCloseable> T add(T closeable) {
        open.add(closeable);
        return closeable;
    }

    // ---- the proxy

    /** Starts the proxy by the deploy file's run and waits until it answers mn with MN. */
    InetSocketAddress startProxy(String discovery, String settings, String known, int memoryMb, int sockets)
            throws IOException, InterruptedException {
        InetSocketAddress listen = freeAddress();
        String config = "{\"name\":\"n0\",\"listen\":\"" + text(listen) + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":" + settings + "}";
        Path file = temporary.resolve("config.json");
        Files.writeString(file, config);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployLine("run"));
        builder.directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.put("BALANCER_NAME", "n0");
        environment.put("BALANCER_LISTEN", text(listen));
        environment.put("BALANCER_DISCOVERY", discovery);
        environment.put("BALANCER_CONFIG", file.toString());
        Path shared = Files.createDirectory(temporary.resolve("tmp"));
        environment.put("TMPDIR", shared.toString());
        File log = temporary.resolve("proxy.log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        proxy = builder.start();
        note("proxy started, process " + proxy.pid());
        for (int i = 0; i < 300; i++) {
            if (!proxy.isAlive()) {
                throw new IOException("the proxy has ended: " + Files.readString(log.toPath()));
            }
            try (Socket socket = new Socket()) {
                socket.connect(listen, 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
                if ("MN".equals(new Lines(socket.getInputStream()).line())) {
                    note("proxy ready");
                    return listen;
                }
            } catch (IOException e) {
                // not ready yet
            }
            sleep(100);
        }
        throw new IOException("the proxy was not ready within 30 s");
    }

    private String deployLine(String name) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + name);
    }

    boolean proxyRuns() {
        return proxy != null && proxy.isAlive();
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return new InetSocketAddress(LOOPBACK, socket.getLocalPort());
        }
    }

    static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    /** Plays a case and exits: 0 if its rule held, 1 if it was broken, 2 if the case could not run. */
    static void play(String recordFile, Case played) {
        int exit = 2;
        try (Rig rig = new Rig(recordFile)) {
            exit = played.play(rig);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    interface Case {
        int play(Rig rig) throws Exception;
    }

    /** Ends the proxy and removes the temporary folder; called however this process ends. */
    private void end() {
        if (proxy != null) {
            proxy.destroyForcibly();
            try {
                proxy.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // it is removed already
        }
    }

    @Override
    public void close() throws IOException {
        if (proxy != null) {
            proxy.destroyForcibly();
            Path log = temporary.resolve("proxy.log");
            if (Files.exists(log)) {
                for (String line : Files.readAllLines(log)) {
                    note("proxy's log: " + line);
                }
            }
        }
        for (AutoCloseable closeable : open) {
            try {
                closeable.close();
            } catch (Exception e) {
                // it ends with this process
            }
        }
        synchronized (record) {
            record.close();
        }
        end();
    }

    // ---- small sockets

    /** Reads lines and blocks of bytes. */
    static final class Lines {
        private final InputStream in;
        private final byte[] buffer = new byte[16 << 10];
        private int from;
        private int to;

        Lines(InputStream in) {
            this.in = in;
        }

        private boolean fill() throws IOException {
            from = 0;
            to = Math.max(0, in.read(buffer));
            return to > 0;
        }

        /** The next line without its end; null at the end of the stream. */
        String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                if (from == to && !fill()) {
                    return null;
                }
                byte next = buffer[from++];
                if (next == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                line.write(next);
            }
        }

        /** That many bytes; null if the stream ends before. */
        byte[] bytes(int count) throws IOException {
            byte[] result = new byte[count];
            for (int have = 0; have < count; ) {
                if (from == to && !fill()) {
                    return null;
                }
                int part = Math.min(count - have, to - from);
                System.arraycopy(buffer, from, result, have, part);
                from += part;
                have += part;
            }
            return result;
        }
    }

    /** Accepts connections and serves each on a thread. */
    static class Server implements AutoCloseable {
        final ServerSocket listening;
        private final List<Socket> sockets = new ArrayList<>();

        Server() throws IOException {
            listening = new ServerSocket(0, 512, LOOPBACK);
        }

        void serve(Connection connection) {
            thread(() -> {
                while (true) {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    thread(() -> {
                        try (socket) {
                            connection.serve(socket);
                        }
                    });
                }
            });
        }

        interface Connection {
            void serve(Socket socket) throws IOException, InterruptedException;
        }

        String dial() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listening.close();
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    /** A proxy of the rig's own: passes bytes on in both directions, each so many milliseconds later. */
    static final class DelayRelay extends Server {
        private final InetSocketAddress target;
        private final double delayMs;

        DelayRelay(String dial, double delayMs) throws IOException {
            target = new InetSocketAddress(LOOPBACK, Integer.parseInt(dial.substring(dial.indexOf(':') + 1)));
            this.delayMs = delayMs;
            serve(this::relay);
        }

        private void relay(Socket client) throws IOException, InterruptedException {
            try (Socket server = new Socket()) {
                server.connect(target, 1000);
                server.setTcpNoDelay(true);
                Thread back = pass(server, client);
                Thread forth = pass(client, server);
                forth.join();
                back.join();
            }
        }

        private record Part(double atMs, byte[] bytes) {}

        private Thread pass(Socket source, Socket sink) {
            java.util.concurrent.LinkedBlockingQueue<Part> parts = new java.util.concurrent.LinkedBlockingQueue<>();
            thread(() -> {
                byte[] buffer = new byte[16 << 10];
                try {
                    int count;
                    while ((count = source.getInputStream().read(buffer)) > 0) {
                        parts.add(new Part(now() + delayMs, java.util.Arrays.copyOf(buffer, count)));
                    }
                } finally {
                    parts.add(new Part(now() + delayMs, null));
                }
            });
            return thread(() -> {
                while (true) {
                    Part part = parts.take();
                    sleep(Math.max(0, part.atMs - now()));
                    if (part.bytes == null) {
                        sink.close();
                        return;
                    }
                    sink.getOutputStream().write(part.bytes);
                }
            });
        }
    }

    // ---- the platform

    /** Discovery with a list that never changes: whole lists and watches that end without news. */
    static final class Discovery extends Server {
        private final String list;

        Discovery(String list) throws IOException {
            this.list = list;
            serve(this::answer);
        }

        private void answer(Socket socket) throws IOException {
            Lines lines = new Lines(socket.getInputStream());
            String request;
            while ((request = lines.line()) != null) {
                String header;
                do {
                    header = lines.line();
                } while (header != null && !header.isEmpty());
                long since = number(request, "since=", 0);
                if (since >= 1) {
                    sleep(number(request, "timeout_ms=", 0));
                }
                String body = since >= 1 ? "{\"seq\":1,\"whole\":false,\"hosts\":[]}" : list;
                String answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body;
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            }
        }

        private static long number(String text, String name, long absent) {
            int at = text.indexOf(name);
            if (at < 0) {
                return absent;
            }
            int end = at + name.length();
            while (end < text.length() && Character.isDigit(text.charAt(end))) {
                end++;
            }
            return Long.parseLong(text.substring(at + name.length(), end));
        }
    }

    static String host(String name, String dial, String kind) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + dial + "\",\"site\":\"tan-thuan\",\"class\":\"" + kind
                + "\",\"block\":0,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
    }

    static String list(List<String> hosts) {
        return "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    /** Settings with the classes of hcm-render; these figures are the site file's and the wire page's. */
    static String settings(int balancers, boolean secondCopies) {
        return "{\"balancers\":" + balancers + ",\"me\":0,\"locality\":0,\"tier\":0,\"tiers\":[\"sub-cache\"],"
                + "\"zones\":[\"tan-thuan\",\"quang-trung\",\"thu-duc\",\"binh-duong\"],"
                + "\"kinds\":[\"node-fast\",\"node-slow\",\"origin\"],\"tenants\":[],\"discovery\":\"ask\","
                + "\"workload\":\"cache\",\"value-by\":\"request\",\"weight-kind\":\"nominal\",\"period\":5.0,"
                + "\"over-share-worth\":0.1,\"callers\":{\"marks-retry\":true},"
                + "\"report\":{\"how\":\"silent\",\"names\":[]},"
                + "\"extra\":{\"mode\":\"aside\",\"origin-kind\":2,\"origin-fall\":3000.0,\"origin-fall-multiple\":0.0},"
                + "\"caps\":{\"may-cancel\":true,\"may-probe\":false,\"peers\":false,\"second-copies\":" + secondCopies
                + ",\"retry-after\":true,\"max-attempts\":3,\"max-retry-after\":500.0,\"connect-timeout\":100.0,"
                + "\"idle-close\":30000.0,\"streams-per-conn\":128},"
                + "\"guarantees\":{\"ask-within\":10000.0,\"drain-grace\":2000.0,\"fall\":1500.0,"
                + "\"grace-to-answer\":20.0,\"start-capacity\":0.3,\"tip-multiple\":3.0,\"warm-up\":9000.0},"
                + "\"classes\":["
                + serviceClass("seg-text", "retryable", 250, 1000, 1, 0.2)
                + "," + serviceClass("seg-image", "retryable", 300, 1000, 1, 0.5)
                + "," + serviceClass("fix-submit", "fragile", 250, 600, 5, 0.3)
                + "," + serviceClass("track-publish", "dedup", 500, 1000, 10, 0.2)
                + "]}";
    }

    private static String serviceClass(
            String name, String idempotency, int promise, int deadline, double gain, double lateShare) {
        return "{\"name\":\"" + name + "\",\"idempotency\":\"" + idempotency
                + "\",\"group\":\"all\",\"stream\":false,\"window\":1500.0,\"promise\":" + promise + ",\"deadline\":"
                + deadline + ",\"gain\":" + gain + ",\"late-share\":" + lateShare + "}";
    }

    // ---- attributes of requests

    /** The argument of a flag of a meta command, such as O or P. */
    static String flag(String line, char letter) {
        for (String token : line.split(" ")) {
            if (!token.isEmpty() && token.charAt(0) == letter) {
                return token.substring(1);
            }
        }
        return "";
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, byte[]... parts) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.write(part, 0, part.length);
        }
        all.writeTo(out);
    }

    static <K, V> Map<K, V> map() {
        return new ConcurrentHashMap<>();
    }
}
