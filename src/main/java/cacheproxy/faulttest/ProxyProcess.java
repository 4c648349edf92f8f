package cacheproxy.faulttest;

import cacheproxy.faulttest.ProcessSignals.Signal;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.scenario.TargetSelector;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * One proxy and its process, which can be restarted. The proxy has its own directory for its configuration, log and
 * temporary files. Faults are injected from the fault injector's thread only; processes are started on start threads.
 */
final class ProxyProcess {
    private static final double MAX_START_SECONDS = 120;
    private static final long MAX_EXIT_SECONDS = 20;
    private static final long MAX_LOG_READ_MS = 20_000;
    private static final int MAX_LINE_LENGTH = 500;
    private static final int MAX_LOG_LINES = 5000;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int READ_TIMEOUT_MS = 2000;
    private static final int READY_POLL_MS = 30;
    /** Limit on the delay with which log lines and the exit of a process are noticed. */
    private static final long NOTICE_DELAY_US = 1000;

    private final String name;
    private final InetSocketAddress address;
    private final Path folder;
    private final History history;
    private final ProcessSignals signals;
    private final BooleanSupplier runEnding;
    private volatile Process process;
    /** Records the process's output lines and its exit in the history. */
    private volatile Thread logReader;
    /** Number of active faults that pause the process. */
    private int pauseCount;
    /** Whether a fault has ended the process, which will be restarted. */
    private boolean down;

    /** @param runEnding whether the run is ending, so that an exit is not recorded */
    ProxyProcess(
            int index,
            InetSocketAddress address,
            Path runFolder,
            History history,
            ProcessSignals signals,
            BooleanSupplier runEnding) {
        name = TargetSelector.proxyName(index);
        this.address = address;
        folder = runFolder.resolve(name);
        this.history = history;
        this.signals = signals;
        this.runEnding = runEnding;
    }

    private Path temporaryFolder() {
        return folder.resolve("tmp");
    }

    /** Creates the proxy's directory. */
    void prepareFolder() throws IOException {
        Files.createDirectories(temporaryFolder());
    }

    /** Starts a process and waits until it is ready. */
    void start(String program, String configText) throws IOException, InterruptedException {
        boolean serve = program.equals("serve");
        Path config = folder.resolve(serve ? "config.json" : "coralbay.toml");
        Files.writeString(config, configText);
        List<String> command = new ArrayList<>(ProxyCommandLine.command());
        command.add(program);
        if (!serve) {
            command.add(config.toString());
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporaryFolder().toString());
        Process started = builder.start();
        process = started;
        history.add(0, name, Event.PROCESS_STARTED, "", "", (double) started.pid());
        Files.writeString(folder.resolve("pid"), started.pid() + "\n");
        Thread reader = new Thread(() -> recordOutputAndExit(started), "log " + name);
        reader.setDaemon(true);
        logReader = reader;
        reader.start();
        awaitReady(started);
        history.add(0, name, Event.PROCESS_READY, "", "", (double) started.pid());
    }

    private void recordOutputAndExit(Process started) {
        try {
            recordOutput(started);
        } catch (IOException e) {
            // The process has ended.
        }
        try {
            int exitCode = started.waitFor();
            if (!runEnding.getAsBoolean()) {
                history.add(NOTICE_DELAY_US, name, Event.PROCESS_EXITED, "", "", exitCode);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordOutput(Process started) throws IOException {
        try (BufferedReader lines = started.inputReader(StandardCharsets.UTF_8);
                Writer log = Files.newBufferedWriter(
                        folder.resolve("log"), StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            int count = 0;
            for (String line; (line = lines.readLine()) != null; ) {
                if (count++ < MAX_LOG_LINES) {
                    String text = line.length() > MAX_LINE_LENGTH ? line.substring(0, MAX_LINE_LENGTH) : line;
                    history.add(NOTICE_DELAY_US, name, Event.LOG_LINE, "", text, 0);
                    log.write(text + "\n");
                    log.flush();
                }
            }
        }
    }

    private void awaitReady(Process started) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + (long) (MAX_START_SECONDS * 1e9);
        while (true) {
            if (!started.isAlive()) {
                throw new IOException(name + " ended before it was ready, exit code " + started.exitValue() + "; see "
                        + folder.resolve("log"));
            }
            if (System.nanoTime() > untilNanos) {
                throw new IOException(name + " was not ready within " + (int) MAX_START_SECONDS + " s");
            }
            try (Socket socket = new Socket()) {
                socket.connect(address, CONNECT_TIMEOUT_MS);
                socket.setSoTimeout(READ_TIMEOUT_MS);
                socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
                if (socket.getInputStream().read() == 'M') {
                    return;
                }
            } catch (IOException e) {
                started.waitFor(READY_POLL_MS, TimeUnit.MILLISECONDS); // not ready yet
            }
        }
    }

    /** Resident memory of the process, KiB; 0 if none is running. */
    long residentKb() {
        Process current = process;
        if (current == null || !current.isAlive()) {
            return 0;
        }
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(current.pid()), "status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    /** Begins a fault that pauses the process. The process is paused until all such faults have ended. */
    void pause() throws IOException {
        if (down) {
            return;
        }
        if (pauseCount++ == 0) {
            history.add(0, name, Event.PROCESS_PAUSED, "", "", 0);
            signals.send(Signal.STOP, process.pid());
        }
    }

    /** Ends a fault that pauses the process. */
    void resume() throws IOException {
        if (down || pauseCount == 0) {
            return;
        }
        if (--pauseCount == 0) {
            signals.send(Signal.CONT, process.pid());
            history.add(0, name, Event.PROCESS_RESUMED, "", "", 0);
        }
    }

    /** Kills or terminates the process; returns false if an earlier fault has already ended it. */
    boolean end(boolean kill) throws IOException {
        if (down) {
            return false;
        }
        down = true;
        history.add(0, name, kill ? Event.PROCESS_KILLED : Event.PROCESS_TERMINATING, "", "", 0);
        if (kill) {
            process.destroyForcibly();
        } else {
            // Process.destroy would also close standard input, which ParentWatchdog takes for the exit of the parent.
            signals.send(Signal.TERM, process.pid());
        }
        if (pauseCount > 0) {
            pauseCount = 0;
            signals.send(Signal.CONT, process.pid()); // a paused process receives SIGTERM only once it is resumed
        }
        return true;
    }

    /** Waits until the process that {@link #end} signalled has exited and its exit is in the history. */
    void awaitExit() throws IOException, InterruptedException {
        if (!process.waitFor(MAX_EXIT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException(name + " did not exit within 20 s after the signal");
        }
        // Otherwise its exit could be recorded after the next start, as if the new process had exited.
        logReader.join(MAX_LOG_READ_MS);
    }

    /** Deletes all files that the proxy keeps across restarts. */
    void emptyDisk() throws IOException {
        Path temporary = temporaryFolder();
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder())
                    .filter(path -> !path.equals(temporary))
                    .toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** Allows faults to hit the proxy again after a restart. */
    void markUp() {
        down = false;
        pauseCount = 0;
    }

    /** Kills the process at the run's end. */
    void killAtRunEnd() {
        if (process != null) {
            history.add(0, name, Event.PROCESS_KILLED, "", "at the run's end", 0);
            process.destroyForcibly();
        }
    }

    /** Waits without a time limit until the process has exited. */
    void awaitExitWithoutTimeout() throws InterruptedException {
        if (process != null) {
            process.waitFor();
        }
    }
}
