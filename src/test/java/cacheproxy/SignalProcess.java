package cacheproxy;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** The packaged program as a process that a test sends signals to, with its standard error read line by line. */
final class SignalProcess implements AutoCloseable {
    private static final int ANSWER_TIMEOUT_MS = 15_000;
    /** Linux assigns ports from 32768 on to outgoing connections. */
    private static final int MIN_PORT = 20_000;

    private static final int PORTS = 12_000;
    private static final String END = "(the end of standard error)";

    private final Process process;
    /** Lines of standard error that no test has read yet; the last is {@link #END}. */
    private final LinkedBlockingQueue<String> errors = new LinkedBlockingQueue<>();

    private final List<String> seen = new ArrayList<>();

    private SignalProcess(ProcessBuilder builder) throws IOException {
        process = builder.start();
        Thread reader = new Thread(this::readErrors, "errors");
        reader.setDaemon(true);
        reader.start();
    }

    private void readErrors() {
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(process.getErrorStream(), UTF_8))) {
            for (String line; (line = lines.readLine()) != null; ) {
                errors.add(line);
            }
        } catch (IOException e) {
            errors.add("standard error can't be read: " + e);
        }
        errors.add(END);
    }

    /** Starts {@code run} with the daemon's configuration. */
    static SignalProcess run(Path file) throws IOException {
        return new SignalProcess(new ProcessBuilder(command("run", file.toString())));
    }

    /** Starts {@code serve} with the platform's configuration. */
    static SignalProcess serve(Path config, Path temporaryFolder) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command("serve"));
        builder.environment().put("TMPDIR", temporaryFolder.toString());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        return new SignalProcess(builder);
    }

    private static List<String> command(String... words) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-jar", "target/cache-proxy.jar"));
        command.addAll(List.of(words));
        return command;
    }

    /** A port that the system assigns to no outgoing connection, so that none occupies it between two starts. */
    static int freePort() {
        while (true) {
            int port = MIN_PORT + ThreadLocalRandom.current().nextInt(PORTS);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                Thread.onSpinWait(); // in use; tries another port
            }
        }
    }

    /** Replaces a file atomically, so that no reader sees only a part of it. */
    static void replace(Path file, String text) throws IOException {
        Path next = Files.writeString(file.resolveSibling(file.getFileName() + ".next"), text);
        Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** Connects to the port as soon as it accepts connections. */
    Socket firstConnection(int port) throws IOException {
        while (true) {
            try {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                return socket;
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw new AssertionError("ended with " + process.exitValue(), e);
                }
                Thread.onSpinWait();
            }
        }
    }

    /** Sends a signal by the shell's built-in {@code kill}, as a separate process would start too late. */
    void signal(String name) throws IOException, InterruptedException {
        int code = new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("kill -" + name + " ended with " + code);
        }
    }

    /** Reads lines of standard error up to one that matches; fails if none comes in time. */
    void awaitLine(Predicate<String> wanted) throws InterruptedException {
        while (true) {
            String line = errors.poll(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (line == null || line.equals(END)) {
                throw new AssertionError("no matching line" + (line == null ? " in time" : "") + ", after: " + seen);
            }
            seen.add(line);
            if (wanted.test(line)) {
                return;
            }
        }
    }

    /** The remaining lines on standard error of a process that has ended. */
    List<String> restOfErrors() throws InterruptedException {
        List<String> rest = new ArrayList<>();
        String line = errors.take();
        while (!line.equals(END)) {
            rest.add(line);
            line = errors.take();
        }
        return rest;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The exit code; fails if the process has not ended after a minute. */
    int awaitEnd() throws InterruptedException {
        if (!process.waitFor(60, TimeUnit.SECONDS)) {
            throw new AssertionError("the process has not ended");
        }
        return process.exitValue();
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
