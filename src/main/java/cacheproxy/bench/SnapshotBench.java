package cacheproxy.bench;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.daemon.snapshot.SnapshotSubsystem;
import cacheproxy.daemon.snapshot.WriteTotals;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import cacheproxy.proxy.net.Transport;
import cacheproxy.snapshot.SnapshotCodec;
import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.StoredSnapshot;
import cacheproxy.snapshot.state.StateSnapshot;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** What a memory is worth after a restart, what it costs, and what a thousand kills leave of it. */
final class SnapshotBench {
    private static final int NODES = 22;
    /** 9 of 22: 41%. */
    private static final int MUTE = 5;

    private static final int SLOW = 4;
    private static final double AIM_MS = 250;
    private static final double PER_SECOND = 400;
    private static final double HOUR_MS = 3_600_000;
    private static final int KEYS = 2000;
    private static final int LANES = 6;
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();

    private final PrintWriter out;
    private final int rounds;
    private final double seconds;

    SnapshotBench(PrintWriter out, int rounds, double seconds) {
        this.out = out;
        this.rounds = rounds;
        this.seconds = seconds;
    }

    void run(String what) throws Exception {
        Path folder = Files.createTempDirectory("memory-bench");
        try {
            switch (what) {
                case "kills" -> lanes(folder, this::kill);
                case "cycles" -> lanes(folder, this::cycles);
                case "memory-cost" -> cost(folder);
                default -> firstSeconds(folder);
            }
        } finally {
            try (var all = Files.walk(folder)) {
                for (Path p : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
        out.flush();
    }

    // ---- kills

    /** What the kills left, over all lanes. */
    private static final class Tally {
        final AtomicInteger kills = new AtomicInteger();
        final AtomicInteger newest = new AtomicInteger();
        final AtomicInteger older = new AtomicInteger();
        final AtomicInteger none = new AtomicInteger();
        final AtomicInteger corrupt = new AtomicInteger();
        final AtomicInteger failedStarts = new AtomicInteger();
        final AtomicInteger leftNew = new AtomicInteger();
        final AtomicInteger answered = new AtomicInteger();
    }

    private interface Lane {
        void run(Path folder, int lane, Tally tally) throws Exception;
    }

    private void lanes(Path folder, Lane lane) throws Exception {
        Tally t = new Tally();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < LANES; i++) {
            int n = i;
            Path own = Files.createDirectory(folder.resolve("lane" + i));
            threads.add(new Thread(() -> {
                try {
                    lane.run(own, n, t);
                } catch (Exception e) {
                    t.failedStarts.incrementAndGet();
                    out.println("lane " + n + ": " + e);
                }
            }));
            threads.get(i).start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        out.printf(
                "kills %d, starts that failed %d, corrupt loads %d; found: the newest %d, the one before it %d, none %d; "
                        + "killed in the middle of a write %d; requests answered meanwhile %d%n",
                t.kills.get(),
                t.failedStarts.get(),
                t.corrupt.get(),
                t.newest.get(),
                t.older.get(),
                t.none.get(),
                t.leftNew.get(),
                t.answered.get());
    }

    private static Process process(Path log, String... words) throws IOException {
        List<String> line = new ArrayList<>(List.of(
                JAVA,
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path")));
        line.addAll(List.of(words));
        return new ProcessBuilder(line).redirectError(log.toFile()).start();
    }

    /**
     * A process that only writes is killed at any moment of a write; what is found must be one of its states, whole.
     */
    private void kill(Path folder, int lane, Tally t) throws Exception {
        SplittableRandom random = new SplittableRandom(lane);
        Path file = folder.resolve("memory");
        int last = 0;
        while (t.kills.incrementAndGet() <= rounds) {
            Process p = process(folder.resolve("log"), SnapshotCrashProcess.class.getName(), file.toString());
            if (p.getInputStream().read() < 0) {
                t.failedStarts.incrementAndGet();
            }
            Thread.sleep(random.nextInt(60), random.nextInt(999_999));
            p.destroyForcibly().waitFor();
            last = check(file, last, t);
        }
        t.kills.decrementAndGet();
    }

    private static int check(Path file, int last, Tally t) {
        if (Files.exists(file.resolveSibling("memory.new"))) {
            t.leftNew.incrementAndGet();
        }
        StoredSnapshot found = SnapshotStore.at(file).read();
        if (found.content() == null) {
            t.none.incrementAndGet();
            t.corrupt.addAndGet(last > 0 ? 1 : 0);
            return last;
        }
        (found.fromPreviousGeneration() ? t.older : t.newest).incrementAndGet();
        StateSnapshot is = found.content();
        StateSnapshot was = SnapshotCrashProcess.state(is.proxyNumber());
        if (!is.pools().equals(was.pools())
                || is.proxyNumber() < last
                || !found.notes().isEmpty()) {
            t.corrupt.incrementAndGet();
        }
        return is.proxyNumber();
    }

    /** The daemon itself, killed and started again under load. */
    private void cycles(Path folder, int lane, Tally t) throws Exception {
        SplittableRandom random = new SplittableRandom(lane);
        Path memory = folder.resolve("memory");
        Path config = folder.resolve("coralbay.toml");
        try (FakeFleet fleet = new FakeFleet(8)) {
            fleet.nodes.get(1).mute(true);
            fleet.nodes.get(2).delay(400);
            warm(fleet.nodes);
            long generation = 0;
            while (t.kills.incrementAndGet() <= rounds) {
                int port;
                try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    port = s.getLocalPort();
                }
                Files.writeString(config, file(fleet, memory, 50).replace("127.0.0.1:0", "127.0.0.1:" + port));
                Process p = process(folder.resolve("log"), "cacheproxy.Main", "run", config.toString());
                InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
                if (!awaitListening(p, to)) {
                    t.failedStarts.incrementAndGet();
                    out.println("start failed: "
                            + Files.readString(folder.resolve("log"))
                                    .lines()
                                    .findFirst()
                                    .orElse("nothing told"));
                    p.destroyForcibly().waitFor();
                    continue;
                }
                OpenLoopLoad load = new OpenLoopLoad(fleet.loop(), AIM_MS, SnapshotBench::key).connect(to, 60);
                load.run(400, 0.3 + random.nextDouble() * 0.7, 0);
                t.answered.addAndGet(load.served + load.refused + load.failed);
                p.destroyForcibly().waitFor();
                if (Files.readString(folder.resolve("log")).contains("byte ")) {
                    t.corrupt.incrementAndGet();
                }
                if (Files.exists(memory.resolveSibling("memory.new"))) {
                    t.leftNew.incrementAndGet();
                }
                StoredSnapshot found = SnapshotStore.at(memory).read();
                boolean lost = found.content() == null
                        ? generation > 0
                        : found.content().generation() < generation;
                if (lost || !found.notes().isEmpty()) {
                    t.corrupt.incrementAndGet();
                }
                (found.content() == null ? t.none : found.fromPreviousGeneration() ? t.older : t.newest)
                        .incrementAndGet();
                generation =
                        found.content() == null ? generation : found.content().generation();
            }
            t.kills.decrementAndGet();
        }
    }

    private static boolean awaitListening(Process p, InetSocketAddress to) throws Exception {
        for (int i = 0; i < 2000 && p.isAlive(); i++) {
            try (java.net.Socket s = new java.net.Socket()) {
                s.connect(to, 1000);
                return true;
            } catch (IOException e) {
                Thread.sleep(10);
            }
        }
        return false;
    }

    // ---- the first ten seconds

    private static String key(int i) {
        double u = new SplittableRandom(i).nextDouble();
        return "key/" + (i % 10 == 0 ? 0 : (int) (u * u * KEYS));
    }

    private static void warm(List<FakeCacheServer> nodes) {
        for (FakeCacheServer n : nodes) {
            for (int i = 0; i < KEYS; i++) {
                n.store("key/" + i, new byte[100]);
            }
        }
    }

    /** A daemon's file for these nodes; null: without a memory. */
    private static String file(FakeFleet fleet, Path memory, int periodMs) {
        StringBuilder t = new StringBuilder(
                "[site]\nwarm_up_ms = 3000\n[[class]]\nname = \"page\"\neffect = \"safe\"\naim_ms = " + (int) AIM_MS
                        + "\ndeadline_ms = 1000\n[[listen]]\nname = \"main\"\naddress = \"127.0.0.1:0\"\nopen = true\nclass = \"page\"\n[[pool]]\n"
                        + "name = \"a\"\n");
        for (FakeCacheServer n : fleet.nodes) {
            t.append("[[pool.server]]\nname = \"n")
                    .append(n.address().getPort())
                    .append("\"\ndial = \"")
                    .append(n.dial())
                    .append("\"\n");
        }
        t.append("[pool.origin]\nname = \"store\"\ndial = \"")
                .append(fleet.origin.dial())
                .append("\"\n[[route]]\nname = \"all\"\npools = [\"a\"]\n");
        return t + (memory == null ? "" : "[memory]\npath = \"" + memory + "\"\nperiod_ms = " + periodMs + "\n");
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the run is over; nothing waits for these threads
    private void firstSeconds(Path folder) throws Exception {
        MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        String[] arms = {"no file", "the file", "an hour old"};
        double[][] worth = new double[3][rounds];
        double[][] toBad = new double[3][rounds];
        double[][] p99 = new double[3][rounds];
        try (FakeFleet fleet = new FakeFleet(NODES)) {
            warm(fleet.nodes);
            fleet.origin.work(2);
            for (int r = 0; r < rounds; r++) {
                List<FakeCacheServer> bad = new ArrayList<>();
                for (int i = 0; i < NODES; i++) { // others each round
                    int role = (i * 7 + r * 5) % NODES;
                    FakeCacheServer n = fleet.nodes.get(i);
                    n.mute(role < MUTE);
                    n.delay(role >= MUTE && role < MUTE + SLOW ? 400 : 0);
                    if (role < MUTE + SLOW) {
                        bad.add(n);
                    }
                }
                Path learned = folder.resolve("learned" + r);
                try (Daemon d = Daemon.start(DaemonConfigReader.parse("bench", file(fleet, learned, 2000)), r)) {
                    load(clients.next(), d, 8);
                    d.drain();
                }
                StateSnapshot known =
                        SnapshotCodec.decode(Files.readAllBytes(learned)).content();
                for (int k = 0; k < 3; k++) {
                    int arm = (k + r) % 3;
                    Path memory = folder.resolve("arm" + r + "-" + arm);
                    if (arm > 0) {
                        SnapshotStore.at(memory)
                                .write(new StateSnapshot(
                                        known.site(),
                                        known.proxyNumber(),
                                        System.currentTimeMillis() - (arm == 2 ? HOUR_MS : 0),
                                        0,
                                        known.pools(),
                                        known.serverStarts()));
                    }
                    int before =
                            bad.stream().mapToInt(FakeCacheServer::commands).sum();
                    try (Daemon d =
                            Daemon.start(DaemonConfigReader.parse("bench", file(fleet, memory, 2000)), 100 + r)) {
                        OpenLoopLoad load = load(clients.next(), d, 10);
                        worth[arm][r] = load.inTime / (double) load.asked;
                        p99[arm][r] = load.nanos.getValueAtPercentile(99) / 1e6;
                    }
                    toBad[arm][r] =
                            bad.stream().mapToInt(FakeCacheServer::commands).sum() - before;
                }
                out.printf(
                        "round %d: within aim %.4f, %.4f, %.4f; sent to the bad %.0f, %.0f, %.0f%n",
                        r, worth[0][r], worth[1][r], worth[2][r], toBad[0][r], toBad[1][r], toBad[2][r]);
                out.flush();
            }
        } finally {
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        out.printf(
                "%n%d of %d nodes silent, %d answer after 400 ms; %.0f requests a second for 10 s after a start, %d rounds%n",
                MUTE, NODES, SLOW, PER_SECOND, rounds);
        out.printf("%-14s %26s %26s %22s%n", "", "within aim", "sent to the bad ones", "p99 ms");
        for (int a = 0; a < 3; a++) {
            out.printf("%-14s %26s %26s %22s%n", arms[a], mean(worth[a], 4), mean(toBad[a], 0), mean(p99[a], 0));
        }
        for (int a = 1; a < 3; a++) {
            double[] gain = new double[rounds];
            double[] fewer = new double[rounds];
            for (int r = 0; r < rounds; r++) {
                gain[r] = worth[a][r] - worth[0][r];
                fewer[r] = toBad[a][r] - toBad[0][r];
            }
            out.println(arms[a] + " less no file, round by round: within aim " + mean(gain, 4) + ", sent to the bad "
                    + mean(fewer, 1));
        }
    }

    private static OpenLoopLoad load(EventLoop loop, Daemon d, double seconds) throws Exception {
        return new OpenLoopLoad(loop, AIM_MS, SnapshotBench::key)
                .connect(d.address("main"), 500)
                .run(PER_SECOND, seconds, 1500);
    }

    /** Mean and the half width of its 95% interval, by Student's t. */
    static String mean(double[] v, int digits) {
        double mean = Arrays.stream(v).average().orElse(0);
        double var = Arrays.stream(v).map(x -> (x - mean) * (x - mean)).sum() / Math.max(1, v.length - 1);
        double[] t = {0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18};
        double half = (v.length - 1 < t.length ? t[v.length - 1] : 2.0) * Math.sqrt(var / v.length);
        return String.format("%." + digits + "f +- %." + Math.max(digits, 1) + "f", mean, half);
    }

    // ---- what writing costs

    /** Two daemons in one process, one of which writes, asked turn about. */
    @SuppressWarnings("FutureReturnValueIgnored") // the load runs until the end of the process
    private void cost(Path folder) throws Exception {
        MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        Path memory = folder.resolve("cost");
        try (FakeFleet fleet = new FakeFleet(NODES)) {
            warm(fleet.nodes);
            try (Daemon writes = Daemon.start(DaemonConfigReader.parse("bench", file(fleet, memory, 50)), 1);
                    Daemon plain = Daemon.start(DaemonConfigReader.parse("bench", file(fleet, null, 0)), 1)) {
                Daemon[] daemons = {plain, writes, plain};
                double[][] p99 = new double[3][rounds];
                double[][] p50 = new double[3][rounds];
                for (int r = -1; r < rounds; r++) {
                    for (int k = 0; k < 3; k++) {
                        int which = (k + Math.max(0, r)) % 3;
                        OpenLoopLoad load = new OpenLoopLoad(clients.next(), AIM_MS, SnapshotBench::key)
                                .connect(daemons[which].address("main"), 100)
                                .run(4000, seconds, 1000);
                        if (r >= 0) {
                            p50[which][r] = load.nanos.getValueAtPercentile(50) / 1e3;
                            p99[which][r] = load.nanos.getValueAtPercentile(99) / 1e3;
                        }
                    }
                }
                double[] ratio = new double[rounds];
                double[] noise = new double[rounds];
                for (int r = 0; r < rounds; r++) {
                    ratio[r] = p99[1][r] / Math.sqrt(p99[0][r] * p99[2][r]);
                    noise[r] = p99[2][r] / p99[0][r];
                }
                out.printf(
                        "%nwriting 20 times a second, 4000 requests a second, windows of %.1f s turn about%n", seconds);
                // Medians: single windows in which the machine stood still would make any mean say nothing.
                out.printf(
                        "p50 us: without %s, with %s; p99 us: without %s, with %s%n",
                        HookBench.spread(p50[0]),
                        HookBench.spread(p50[1]),
                        HookBench.spread(p99[0]),
                        HookBench.spread(p99[1]));
                out.printf(
                        "p99, with to without: %s; without again to without: %s%n",
                        HookBench.ratio(ratio), HookBench.ratio(noise));
            }
            AtomicBoolean over = new AtomicBoolean();
            try (Daemon d =
                    Daemon.start(DaemonConfigReader.parse("bench", file(fleet, folder.resolve("hour"), 2000)), 1)) {
                fleet.nodes.get(0).mute(true);
                LoadClient load = new LoadClient(
                        clients.next(),
                        d.address("main"),
                        1_000_000,
                        i -> new LoadClient.Ask(over.get() ? "x" : key(i), "", null, null));
                load.start(4, 1);
                Thread.sleep(20_000);
                over.set(true);
                WriteTotals written = d.subsystem(SnapshotSubsystem.class).writeTotals();
                out.printf(
                        "at the usual period of 2 s, under load: %d writes of %.0f bytes in 20 s, %.2f MB an hour%n",
                        written.files(),
                        written.bytes() / (double) Math.max(1, written.files()),
                        written.bytes() * 180 / 1e6);
            }
        } finally {
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
