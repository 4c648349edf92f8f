import java.io.BufferedInputStream;
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
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the cases of the second review share: the record, settings, the proxy's process, sockets and discovery. */
final class Rig implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";

    final Path root;
    final Path folder;
    final Path temporary;
    final boolean trouble;
    /** Lists the processes that were started and not ended, for the script to end them if this one can't. */
    private final Path processes;

    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<AutoCloseable> toClose = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    /** Thrown if a case could not run: the script then exits with 2. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String message) {
            super(message);
        }
    }

    interface Body {
        /** Returns whether the rule held. */
        boolean run(Rig rig) throws Exception;
    }

    private Rig(Path folder, boolean trouble) throws IOException {
        root = Path.of("").toAbsolutePath();
        this.folder = folder;
        this.trouble = trouble;
        processes = folder.resolve("processes.txt");
        temporary = Files.createTempDirectory("review-2-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        log("case " + folder.getFileName() + " trouble=" + (trouble ? 1 : 0));
    }

    /** Runs a case in the folder of the first argument; exits with 0 if the rule held, 10 if not, and 2 if it could not run. */
    static void main(String[] arguments, Body body) {
        int status = 2;
        try {
            Rig rig = new Rig(Path.of(arguments[0]).toAbsolutePath(), arguments[1].equals("with"));
            Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
            try {
                status = body.run(rig) ? 0 : 10;
                rig.log(status == 0 ? "RESULT the rule held" : "RESULT the rule was broken");
                System.out.println(status == 0 ? "the rule held" : "the rule was broken");
            } catch (CannotRun e) {
                rig.log("RESULT the case could not run: " + e.getMessage());
                System.out.println("the case could not run: " + e.getMessage());
            } catch (Exception e) {
                rig.log("RESULT the case could not run: " + e);
                e.printStackTrace();
            }
            rig.close();
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    synchronized void log(String line) {
        if (!closed) {
            record.printf("%10.3f %s%n", nowMs(), line);
        }
    }

    double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    <T extends AutoCloseable> T owns(T resource) {
        toClose.add(resource);
        return resource;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }

    static void sleep(double ms) {
        try {
            TimeUnit.NANOSECONDS.sleep((long) (ms * 1e6));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                // a connection or a server has ended
            }
        }, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        List<AutoCloseable> reversed = new ArrayList<>(toClose);
        java.util.Collections.reverse(reversed);
        for (AutoCloseable resource : reversed) {
            try {
                resource.close();
            } catch (Exception e) {
                // it has ended
            }
        }
        closed = true;
        record.close();
        try {
            Files.deleteIfExists(processes); // all have ended
        } catch (IOException e) {
            // the script ends them once more
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // it is in the system's folder for temporary files
        }
    }

    // ---- sockets

    /** Reads a line without its end; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b; (b = in.read()) != '\n'; ) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The argument of a flag of a meta command or answer; null if there is none. */
    static String flag(String line, char letter) {
        Matcher matcher = Pattern.compile(" " + letter + "(\\S*)").matcher(line);
        return matcher.find() ? matcher.group(1) : null;
    }

    // ---- settings

    /** The settings and the configuration of one proxy, like those of a small deployment of the site. */
    static final class Config {
        final Map<String, String> caps = new TreeMap<>();
        final List<String> classes = new ArrayList<>();
        final List<String> hosts = new ArrayList<>();
        int balancers = 6;
        int listenPort;
        int discoveryPort;
        int controlPort;
        int memoryMb = 192;
        int sockets = 1024;
        String mode = "aside";

        Config() {
            caps.put("connect-timeout", "100.0");
            caps.put("idle-close", "30000.0");
            caps.put("max-attempts", "3");
            caps.put("max-retry-after", "500.0");
            caps.put("may-cancel", "true");
            caps.put("may-probe", "false");
            caps.put("peers", "false");
            caps.put("retry-after", "true");
            caps.put("second-copies", "true");
            caps.put("streams-per-conn", "128");
            caps.put("max-open", "20293");
        }

        static String serviceClass(
                String name, String idempotency, double promise, double deadline, double gain, double late, double window) {
            return "{\"name\":\"" + name + "\",\"idempotency\":\"" + idempotency + "\",\"promise\":" + promise
                    + ",\"deadline\":" + deadline + ",\"gain\":" + gain + ",\"late-share\":" + late
                    + ",\"stream\":false,\"group\":\"all\",\"window\":" + window + "}";
        }

        /** The classes of hcm-render. */
        Config siteClasses() {
            return siteClasses("retryable");
        }

        /** The classes of hcm-render, the first with this effect. */
        Config siteClasses(String effectOfText) {
            classes.add(serviceClass("seg-text", effectOfText, 250, 1000, 1, 0.2, 5000));
            classes.add(serviceClass("seg-image", "retryable", 300, 1000, 1, 0.5, 5000));
            classes.add(serviceClass("fix-submit", "fragile", 250, 600, 5, 0.3, 5000));
            classes.add(serviceClass("track-publish", "dedup", 500, 1000, 10, 0.2, 1500));
            return this;
        }

        static String host(String name, int port, String kind, String health, long bornMs) {
            return "{\"host\":\"" + name + "\",\"dial\":\"" + LOOPBACK + ":" + port
                    + "\",\"site\":\"tan-thuan\",\"class\":\"" + kind + "\",\"block\":0,\"health\":\"" + health
                    + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
        }

        Config node(String name, int port) {
            hosts.add(host(name, port, "node-fast", "up", 0));
            return this;
        }

        Config origin(int port) {
            hosts.add(host("s-0000f00d", port, "origin", "up", 0));
            return this;
        }

        String list(long version, boolean whole) {
            return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
        }

        String json() {
            StringBuilder capsText = new StringBuilder();
            caps.forEach((name, value) ->
                    capsText.append(capsText.length() == 0 ? "" : ",").append("\"" + name + "\":" + value));
            return "{\"name\":\"n0\",\"listen\":\"" + LOOPBACK + ":" + listenPort + "\",\"discovery\":\"" + LOOPBACK + ":"
                    + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\","
                    + (controlPort == 0 ? "" : "\"control\":\"" + LOOPBACK + ":" + controlPort + "\",")
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                    + "\"known\":" + list(41, true) + ",\"settings\":{\"me\":0,\"balancers\":" + balancers
                    + ",\"locality\":0,\"zones\":[\"tan-thuan\",\"quang-trung\",\"thu-duc\",\"binh-duong\"],"
                    + "\"kinds\":[\"node-fast\",\"node-slow\",\"origin\"],\"discovery\":\"ask\",\"value-by\":\"request\","
                    + "\"over-share-worth\":0.1,\"report\":{\"how\":\"silent\",\"names\":[]},\"caps\":{" + capsText + "},"
                    + "\"extra\":{\"mode\":\"" + mode + "\",\"origin-kind\":" + (mode.equals("aside") ? 2 : -1) + ",\"origin-fall-multiple\":0.0,\"origin-fall\":3000.0},"
                    + "\"guarantees\":{\"drain-grace\":2000.0,\"grace-to-answer\":20.0,\"start-capacity\":0.3,"
                    + "\"warm-up\":9000.0,\"tip-multiple\":3.0,\"fall\":1500.0,\"ask-within\":10000.0},"
                    + "\"classes\":[" + String.join(",", classes) + "]}}";
        }
    }

    // ---- the proxy

    /** A proxy that was started with `run` of the deploy file. */
    static final class Proxy implements AutoCloseable {
        final Process process;
        final int port;
        private final Rig rig;

        private Proxy(Rig rig, Process process, int port) {
            this.rig = rig;
            this.process = process;
            this.port = port;
        }

        void signal(String name) throws IOException, InterruptedException {
            rig.log("signal " + name + " to the proxy " + process.pid());
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        @Override
        public void close() throws Exception {
            if (process.isAlive()) {
                process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
        }
    }

    private String runCommand() throws IOException, CannotRun {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new CannotRun("deploy/balancer.toml has no run");
        }
        return matcher.group(1);
    }

    /** Starts a process with `run` and does not wait for it. */
    Proxy launch(Config config, String name) throws IOException, CannotRun {
        if (!Files.exists(root.resolve("target/cache-proxy.jar"))) {
            throw new CannotRun("the program is not built");
        }
        Path file = temporary.resolve(name + ".json");
        Files.writeString(file, config.json());
        Path shared = Files.createDirectories(temporary.resolve("t"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.directory(root.toFile());
        builder.environment().put("BALANCER_NAME", "n0");
        builder.environment().put("BALANCER_LISTEN", LOOPBACK + ":" + config.listenPort);
        builder.environment().put("BALANCER_DISCOVERY", LOOPBACK + ":" + config.discoveryPort);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("TMPDIR", shared.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(temporary.resolve(name + ".log").toFile());
        if (config.controlPort != 0) {
            builder.environment().put("BALANCER_CONTROL", LOOPBACK + ":" + config.controlPort);
        }
        Proxy proxy = owns(new Proxy(this, builder.start(), config.listenPort));
        Files.writeString(
                processes, proxy.process.pid() + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        log("started proxy " + name + ", process " + proxy.process.pid());
        return proxy;
    }

    /** Starts a process with `run` and waits until it answers `mn` with `MN`. */
    Proxy start(Config config, String name) throws IOException, CannotRun {
        Proxy proxy = launch(config, name);
        for (double end = nowMs() + 30_000; nowMs() < end; sleep(20)) {
            if (!proxy.process.isAlive()) {
                throw new CannotRun("the proxy ended: " + logOf(name));
            }
            try (Client client = new Client(config.listenPort, 2000)) {
                client.send("mn\r\n");
                if ("MN".equals(client.line())) {
                    log("proxy " + name + " is ready");
                    return proxy;
                }
            } catch (IOException e) {
                // not yet
            }
        }
        throw new CannotRun("the proxy is not ready after 30 s");
    }

    String logOf(String name) throws IOException {
        return Files.readString(temporary.resolve(name + ".log")).trim();
    }

    // ---- clients

    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Client(int port, int timeoutMs) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(ascii(text));
            out.flush();
        }

        String line() throws IOException {
            return Rig.line(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---- servers

    interface Connection {
        void handle(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** A server on a free port that handles each connection on a thread of its own. */
    final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final List<Socket> open = new CopyOnWriteArrayList<>();

        Server(Connection connection) throws IOException {
            socket = new ServerSocket(0, 512, InetAddress.getByName(LOOPBACK));
            daemon(() -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    open.add(accepted);
                    daemon(() -> {
                        try (accepted) {
                            connection.handle(
                                    accepted,
                                    new BufferedInputStream(accepted.getInputStream()),
                                    accepted.getOutputStream());
                        } finally {
                            open.remove(accepted);
                        }
                    });
                }
            });
        }

        int port() {
            return socket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket connection : open) {
                connection.close();
            }
        }
    }

    /** A request to the origin or to discovery. */
    record HttpRequest(String method, String path, Map<String, String> headers, byte[] body) {}

    static HttpRequest httpRequest(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header; (header = line(in)) != null && !header.isEmpty(); ) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        String[] words = first.split(" ");
        return new HttpRequest(words[0], words[1], headers, body);
    }

    static byte[] httpOk(byte[] body) {
        byte[] head = ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Discovery, which tells the list of a configuration; `change` makes the watches see a new version. */
    final class Discovery {
        private final Server server;
        private String whole;
        private long version;

        Discovery(Config config) throws IOException {
            version = 41;
            server = owns(new Server((socket, in, out) -> {
                for (HttpRequest request; (request = httpRequest(in)) != null; ) {
                    Matcher since = Pattern.compile("since=(\\d+)").matcher(request.path());
                    Matcher wait = Pattern.compile("timeout_ms=(\\d+)").matcher(request.path());
                    long known = since.find() ? Long.parseLong(since.group(1)) : -1;
                    long waitMs = wait.find() ? Long.parseLong(wait.group(1)) : 0;
                    String answer;
                    synchronized (this) {
                        double end = nowMs() + waitMs;
                        while (known == version && nowMs() < end) {
                            wait(Math.max(1, (long) (end - nowMs())));
                        }
                        answer = known == version
                                ? "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[]}"
                                : whole == null ? config.list(version, true) : whole;
                    }
                    out.write(httpOk(ascii(answer)));
                    out.flush();
                }
            }));
            config.discoveryPort = server.port();
        }

        synchronized void change(Config config) {
            version++;
            whole = config.list(version, true);
            notifyAll();
        }
    }

    /** Passes bytes on with a delay in each direction, as a network does. */
    final class DelayingRelay {
        private final Server server;

        DelayingRelay(int targetPort, double oneWayMs) throws IOException {
            server = owns(new Server((socket, in, out) -> {
                Socket target = new Socket(LOOPBACK, targetPort);
                target.setTcpNoDelay(true);
                Thread back = pump(target, target.getInputStream(), socket, oneWayMs);
                pump(socket, socket.getInputStream(), target, oneWayMs).join();
                back.join();
            }));
        }

        private Thread pump(Socket from, InputStream in, Socket to, double oneWayMs) {
            java.util.concurrent.LinkedBlockingQueue<Object[]> queue = new java.util.concurrent.LinkedBlockingQueue<>();
            daemon(() -> {
                byte[] buffer = new byte[64 << 10];
                try {
                    for (int count; (count = in.read(buffer)) >= 0; ) {
                        queue.add(new Object[] {nowMs() + oneWayMs, java.util.Arrays.copyOf(buffer, count)});
                    }
                } finally {
                    queue.add(new Object[] {nowMs() + oneWayMs, null});
                }
            });
            return daemon(() -> {
                try (from; to) {
                    for (Object[] part; (part = queue.take())[1] != null; ) {
                        await((double) part[0]);
                        to.getOutputStream().write((byte[]) part[1]);
                        to.getOutputStream().flush();
                    }
                }
            });
        }

        private void await(double atMs) {
            for (double left; (left = atMs - nowMs()) > 0; ) {
                sleep(left);
            }
        }

        int port() {
            return server.port();
        }
    }
}
