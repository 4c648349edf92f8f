package cacheproxy.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A process of the {@code run} command with one listener and one pool of one node. */
final class DaemonProcess implements SignalTarget {
    private static final long READY_MS = 30_000;
    private static final String CONFIG = """
            [limits]
            sockets = 8192
            [[class]]
            name = "text"
            effect = "safe"
            aim_ms = 400
            deadline_ms = 1000
            [[listen]]
            name = "main"
            address = "127.0.0.1:%d"
            [[pool]]
            name = "nodes"
            [[pool.server]]
            name = "n1"
            dial = "%s"
            [[route]]
            name = "all"
            pools = ["nodes"]
            """;

    private final int port;
    private final Path folder;
    private final String nodeAddress;
    private final Process process;

    /** Starts the process and waits until it accepts clients. */
    DaemonProcess(int port, Path folder, String nodeAddress) throws IOException {
        this.port = port;
        this.nodeAddress = nodeAddress;
        this.folder = Files.createDirectories(folder);
        Files.writeString(config(), CONFIG.formatted(port, nodeAddress));
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-jar",
                        "target/cache-proxy.jar",
                        "run",
                        config().toString())
                .redirectErrorStream(true)
                .redirectOutput(log().toFile())
                .start();
        awaitReady();
    }

    private Path config() {
        return folder.resolve("coralbay.toml");
    }

    @Override
    public Path log() {
        return folder.resolve("log");
    }

    private void awaitReady() throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (true) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(1000);
                if (PipelinedReader.isReady(socket, socket.getInputStream())) {
                    return;
                }
            } catch (IOException e) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
            }
            if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
                throw new IOException("not ready: " + Files.readString(log()));
            }
        }
    }

    @Override
    public int port() {
        return port;
    }

    @Override
    public Process process() {
        return process;
    }

    /** Takes the listener out of the file, for one at another port, and has the process read the file. */
    void replaceListener(int newPort) throws IOException, InterruptedException {
        Path next = Files.writeString(folder.resolve("coralbay.new"), CONFIG.formatted(newPort, nodeAddress));
        Files.move(next, config(), StandardCopyOption.ATOMIC_MOVE);
        signal("HUP");
    }
}
