package cacheproxy;

import cacheproxy.fakes.ScriptedServer;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/** Runs {@code serve} of the packaged program as a separate process, in front of servers that a test scripts. */
final class ServeProcess implements AutoCloseable {
    private final Path folder;
    private final JsonObject config;
    private final JsonArray hosts = new JsonArray();
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final List<String> javaOptions = new ArrayList<>(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    private final int port;
    private Process process;

    /** A client's connection to the proxy. */
    static final class Client implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a line. Returns the time when all of it was written, on the clock of {@link System#nanoTime}. */
        long send(String line) throws IOException {
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return System.nanoTime();
        }

        /** Sets how long {@link #line} and {@link #bytes} wait for each byte. */
        void setTimeoutMs(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
        }

        byte[] bytes(int count) throws IOException {
            return in.readNBytes(count);
        }

        String line() throws IOException {
            return ScriptedServer.readLine(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    ServeProcess(Path folder) throws IOException {
        this.folder = folder;
        config = JsonParser.parseString(Files.readString(Path.of("src/test/resources/config.json")))
                .getAsJsonObject();
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        config.addProperty("listen", "127.0.0.1:" + port);
    }

    ServeProcess node(ScriptedServer server) {
        return server(server, "node-fast");
    }

    ServeProcess origin(ScriptedServer server) {
        return server(server, "origin");
    }

    private ServeProcess server(ScriptedServer server, String kind) {
        servers.add(server);
        JsonObject host = new JsonObject();
        host.addProperty("host", "s-%08x".formatted(servers.size()));
        host.addProperty("dial", server.dial());
        host.addProperty("site", "tan-thuan");
        host.addProperty("class", kind);
        host.addProperty("block", 0);
        host.addProperty("health", "up");
        host.addProperty("share", 1.0);
        host.addProperty("born_ms", 0);
        hosts.add(host);
        return this;
    }

    /** Adds an option of the Java virtual machine. */
    ServeProcess javaOption(String option) {
        javaOptions.add(option);
        return this;
    }

    /** Starts the process and waits until it accepts clients. */
    ServeProcess start() throws IOException {
        config.getAsJsonObject("known").add("hosts", hosts);
        Path file = folder.resolve("config.json");
        Files.writeString(file, config.toString());
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(javaOptions);
        command.addAll(List.of("-jar", "target/cache-proxy.jar", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.redirectError(folder.resolve("stderr").toFile());
        process = builder.start();
        while (!ready()) {
            if (!process.isAlive()) {
                throw new IOException("the process ended: " + Files.readString(folder.resolve("stderr")));
            }
            LockSupport.parkNanos(5_000_000);
        }
        return this;
    }

    private boolean ready() {
        try (Client client = client()) {
            client.send("mn");
            return "MN".equals(client.line());
        } catch (IOException e) {
            return false;
        }
    }

    int port() {
        return port;
    }

    /** The most memory that the process has had resident so far. */
    long peakResidentBytes() throws IOException {
        String line = Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(text -> text.startsWith("VmHWM:"))
                .findFirst()
                .orElseThrow();
        return Long.parseLong(line.replaceAll("\\D", "")) << 10;
    }

    Client client() throws IOException {
        return new Client(port);
    }

    void signal(String name) throws IOException, InterruptedException {
        int code = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("kill -" + name + " ended with " + code);
        }
    }

    /** Sends SIGSTOP, and returns once the process has stopped. */
    void pause() throws IOException, InterruptedException {
        signal("STOP");
        Path stat = Path.of("/proc", Long.toString(process.pid()), "stat");
        while (!Files.readString(stat).replaceAll(".*\\) ", "").startsWith("T")) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() throws Exception {
        if (process != null && process.isAlive()) {
            signal("CONT");
            process.destroyForcibly().waitFor();
        }
        for (ScriptedServer server : servers) {
            server.close();
        }
    }
}
