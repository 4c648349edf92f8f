package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;
import com.google.gson.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.Stream;

/**
 * The processes of the program. Each is started as in service, has a folder of its own, and ends with the rig in
 * whatever way the rig ends ({@link ParentWatchdog}). What befalls them comes from one thread, the director's.
 */
final class ProxyProcesses implements AutoCloseable {
    private static final double READY_SECONDS = 120;
    private static final long READER_MS = 20_000;
    private static final int MOST_LINE = 500;
    private static final int MOST_LINES = 5000;

    private final Scenario scenario;
    private final AddressSpace space;
    private final ChildFiles files;
    private final Path folder;
    private final History history;
    private final ProcessSignals signals = new ProcessSignals();
    private final ExecutorService starters;
    private final SplittableRandom seeds;
    private final One[] all;
    private volatile boolean closing;

    private static final class One {
        volatile Process process;
        /** Writes its lines and its end into the history. */
        volatile Thread reader;
        /** Faults that have it stand still at the moment. */
        int stops;
        /** Whether a fault has ended it and will start it again. */
        boolean down;
    }

    ProxyProcesses(Scenario scenario, AddressSpace space, Path folder, History history, IntFunction<JsonObject> known)
            throws IOException {
        this.scenario = scenario;
        this.space = space;
        this.folder = folder;
        this.history = history;
        files = new ChildFiles(scenario, space, known);
        seeds = new SplittableRandom(scenario.seed() + 99);
        starters = Executors.newFixedThreadPool(scenario.concurrentStarts(), r -> {
            Thread t = new Thread(r, "starter");
            t.setDaemon(true);
            return t;
        });
        all = new One[scenario.proxies()];
        for (int i = 0; i < all.length; i++) {
            all[i] = new One();
        }
    }

    /** Starts all, as many at a time as the scenario says, and waits until they are ready. */
    void startAll() throws IOException, InterruptedException {
        List<Future<?>> started = new ArrayList<>();
        for (int i = 0; i < all.length; i++) {
            int proxy = i;
            started.add(starters.submit(() -> {
                start(proxy);
                return null;
            }));
        }
        for (Future<?> f : started) {
            try {
                f.get();
            } catch (ExecutionException e) {
                throw new IOException(e.getCause().getMessage(), e.getCause());
            }
        }
    }

    private void start(int i) throws IOException, InterruptedException {
        String name = TargetSelector.proxyName(i);
        Path own = folder.resolve(name);
        Path temporary = own.resolve("tmp");
        Files.createDirectories(temporary);
        boolean serve = scenario.program().equals("serve");
        Path config = own.resolve(serve ? "config.json" : "coralbay.toml");
        long seed;
        synchronized (seeds) {
            seed = seeds.nextLong();
        }
        Files.writeString(config, files.of(i, seed));
        List<String> words = new ArrayList<>(ProxyCommandLine.command());
        words.add(scenario.program());
        if (!serve) {
            words.add(config.toString());
        }
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        Process process = builder.start();
        all[i].process = process;
        history.add(0, name, Event.PROCESS_STARTED, "", "", (double) process.pid());
        Files.writeString(own.resolve("pid"), process.pid() + "\n");
        Thread reader = new Thread(() -> read(name, process, own.resolve("log")), "log " + name);
        reader.setDaemon(true);
        all[i].reader = reader;
        reader.start();
        awaitReady(i, process);
        history.add(0, name, Event.PROCESS_READY, "", "", (double) process.pid());
    }

    private void read(String name, Process process, Path log) {
        try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8);
                Writer out = Files.newBufferedWriter(
                        log, java.nio.file.StandardOpenOption.CREATE, java.nio.file.StandardOpenOption.APPEND)) {
            int lines = 0;
            for (String line; (line = in.readLine()) != null; ) {
                if (lines++ < MOST_LINES) {
                    String text = line.length() > MOST_LINE ? line.substring(0, MOST_LINE) : line;
                    history.add(1000, name, Event.LOG_LINE, "", text, 0);
                    out.write(text + "\n");
                    out.flush();
                }
            }
        } catch (IOException e) {
            // its end
        }
        try {
            int code = process.waitFor();
            if (!closing) {
                history.add(1000, name, Event.PROCESS_EXITED, "", "", code);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitReady(int i, Process process) throws IOException, InterruptedException {
        long until = System.nanoTime() + (long) (READY_SECONDS * 1e9);
        while (true) {
            if (!process.isAlive()) {
                throw new IOException(TargetSelector.proxyName(i) + " ended before it was ready, exit code "
                        + process.exitValue() + "; see "
                        + folder.resolve(TargetSelector.proxyName(i)).resolve("log"));
            }
            if (System.nanoTime() > until) {
                throw new IOException(
                        TargetSelector.proxyName(i) + " was not ready within " + (int) READY_SECONDS + " s");
            }
            try (Socket s = new Socket()) {
                s.connect(space.proxy(i, AddressSpace.CLIENTS), 500);
                s.setSoTimeout(2000);
                s.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
                if (s.getInputStream().read() == 'M') {
                    return;
                }
            } catch (IOException e) {
                process.waitFor(30, TimeUnit.MILLISECONDS); // not yet
            }
        }
    }

    InetSocketAddress[] addresses() {
        InetSocketAddress[] addresses = new InetSocketAddress[all.length];
        for (int i = 0; i < all.length; i++) {
            addresses[i] = space.proxy(i, AddressSpace.CLIENTS);
        }
        return addresses;
    }

    /** What a process holds in memory, KiB; 0 if it is not there. */
    long residentKb(int i) {
        Process p = all[i].process;
        if (p == null || !p.isAlive()) {
            return 0;
        }
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(p.pid()), "status"))) {
            return lines.filter(l -> l.startsWith("VmRSS:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException | java.io.UncheckedIOException e) {
            return 0;
        }
    }

    // ---- what befalls them; the director's thread alone

    void stop(int i) throws IOException {
        One o = all[i];
        if (o.down) {
            return;
        }
        if (o.stops++ == 0) {
            history.add(0, TargetSelector.proxyName(i), Event.PROCESS_PAUSED, "", "", 0);
            signals.send("STOP", o.process.pid());
        }
    }

    void proceed(int i) throws IOException {
        One o = all[i];
        if (o.down || o.stops == 0) {
            return;
        }
        if (--o.stops == 0) {
            signals.send("CONT", o.process.pid());
            history.add(0, TargetSelector.proxyName(i), Event.PROCESS_RESUMED, "", "", 0);
        }
    }

    /** Returns whether it was this call that ends it. */
    boolean end(int i, boolean kill) throws IOException {
        One o = all[i];
        if (o.down) {
            return false;
        }
        o.down = true;
        history.add(0, TargetSelector.proxyName(i), kill ? Event.PROCESS_KILLED : Event.PROCESS_TERMINATING, "", "", 0);
        if (kill) {
            o.process.destroyForcibly();
        } else {
            signals.send(
                    "TERM", o.process.pid()); // Process.destroy would close its standard input as well: an orphan's end
        }
        while (o.stops > 0) {
            o.stops = 0;
            signals.send("CONT", o.process.pid()); // a stopped process hears of SIGTERM once it goes on
        }
        return true;
    }

    /** Starts one again that {@link #end} has ended, after its end; told when it is ready, or why it is not. */
    @SuppressWarnings("FutureReturnValueIgnored") // the task records its own failure
    void again(int i, boolean loseDisk, Consumer<Exception> then) {
        starters.submit(() -> {
            try {
                restart(i, loseDisk);
                then.accept(null);
            } catch (IOException | RuntimeException e) {
                then.accept(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void restart(int i, boolean loseDisk) throws IOException, InterruptedException {
        One o = all[i];
        if (!o.process.waitFor(20, TimeUnit.SECONDS)) {
            throw new IOException(TargetSelector.proxyName(i) + " had not ended 20 s after it was told to");
        }
        o.reader.join(READER_MS); // else its end could be noted behind the next one's start, as if that one had ended
        if (loseDisk) {
            empty(folder.resolve(TargetSelector.proxyName(i)).resolve("tmp"));
        }
        if (!closing) {
            start(i);
        }
    }

    /** It may be befallen again. */
    void isUp(int i) {
        all[i].down = false;
        all[i].stops = 0;
    }

    private static void empty(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder())
                    .filter(p -> !p.equals(folder))
                    .toList()) {
                Files.deleteIfExists(p);
            }
        }
    }

    @Override
    public void close() {
        endAll();
    }

    /** Ends all processes at once and waits for their ends; a second call does nothing. */
    synchronized void endAll() {
        if (closing) {
            return;
        }
        closing = true;
        starters.shutdownNow();
        for (int i = 0; i < all.length; i++) {
            if (all[i].process != null) {
                history.add(0, TargetSelector.proxyName(i), Event.PROCESS_KILLED, "", "at the run's end", 0);
                all[i].process.destroyForcibly();
            }
        }
        for (One o : all) {
            try {
                if (o.process != null) {
                    o.process.waitFor();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        signals.close();
    }
}
