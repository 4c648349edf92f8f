package cacheproxy.bench;

import cacheproxy.daemon.Daemon;
import cacheproxy.daemon.snapshot.SnapshotSubsystem;
import cacheproxy.daemon.snapshot.WriteTotals;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import io.netty.channel.EventLoop;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** What writing snapshots costs: two daemons in one process, one of which writes, in turn. */
final class SnapshotWriteBench {
    private static final int SHORT_PERIOD_MS = 50;
    private static final int USUAL_PERIOD_MS = 2000;
    private static final int CONNECTIONS = 100;
    private static final double REQUESTS_PER_SECOND = 4000;
    private static final long DRAIN_MS = 1000;
    private static final int MAX_REQUESTS = 1_000_000;
    private static final int USUAL_LOAD_CONNECTIONS = 4;
    private static final long USUAL_LOAD_MS = 20_000;
    private static final int USUAL_LOADS_PER_HOUR = 180;

    private static final List<Variant> VARIANTS = List.of(Variant.values());

    /** The daemon without snapshots is measured twice, for the noise. */
    private enum Variant {
        PLAIN,
        WRITING,
        PLAIN_AGAIN
    }

    private final PrintWriter out;
    private final int rounds;
    private final double seconds;

    SnapshotWriteBench(PrintWriter out, int rounds, double seconds) {
        this.out = out;
        this.rounds = rounds;
        this.seconds = seconds;
    }

    /** Prints latencies with and without writing at a short period, then what is written at the usual one. */
    void run(Path directory) throws Exception {
        try (EventLoopThread clients = new EventLoopThread();
                FakeFleet fleet = new FakeFleet(SnapshotWorkload.SERVERS)) {
            SnapshotWorkload.storeValues(fleet.nodes);
            try (Daemon writing = SnapshotWorkload.config(fleet, directory.resolve("cost"), SHORT_PERIOD_MS)
                            .start(1);
                    Daemon plain = SnapshotWorkload.config(fleet).start(1)) {
                compare(plain, writing, clients.loop());
            }
            measureUsualWrites(fleet, clients.loop(), directory.resolve("hour"));
        }
    }

    private void compare(Daemon plain, Daemon writing, EventLoop loop) throws Exception {
        RoundSamples<Variant> p50Micros = new RoundSamples<>(VARIANTS, rounds);
        RoundSamples<Variant> p99Micros = new RoundSamples<>(VARIANTS, rounds);
        for (Daemon warmedUp : List.of(plain, writing, plain)) {
            load(warmedUp, loop);
        }
        for (int i = 0; i < rounds; i++) {
            int round = i;
            RoundSamples.runRound(round, VARIANTS, variant -> {
                OpenLoopLoad load = load(variant == Variant.WRITING ? writing : plain, loop);
                p50Micros.set(variant, round, load.percentileNanos(50) / 1e3);
                p99Micros.set(variant, round, load.percentileNanos(99) / 1e3);
            });
        }
        print(p50Micros, p99Micros);
    }

    private OpenLoopLoad load(Daemon daemon, EventLoop loop) throws Exception {
        return new OpenLoopLoad(loop, BenchConfig.AIM_MS, SnapshotWorkload::key)
                .connect(daemon.address("main"), CONNECTIONS)
                .run(REQUESTS_PER_SECOND, seconds, DRAIN_MS);
    }

    /** Prints medians: single windows in which the machine stood still would make any mean say nothing. */
    private void print(RoundSamples<Variant> p50Micros, RoundSamples<Variant> p99Micros) {
        out.printf("%nwriting 20 times a second, 4000 requests a second, windows of %.1f s turn about%n", seconds);
        out.printf(
                "p50 us: without %s, with %s; p99 us: without %s, with %s%n",
                Spread.quartiles(p50Micros.of(Variant.PLAIN)).format(0),
                Spread.quartiles(p50Micros.of(Variant.WRITING)).format(0),
                Spread.quartiles(p99Micros.of(Variant.PLAIN)).format(0),
                Spread.quartiles(p99Micros.of(Variant.WRITING)).format(0));
        double[] ratios = p99Micros.ratiosToMean(Variant.WRITING, Variant.PLAIN, Variant.PLAIN_AGAIN);
        double[] noise = p99Micros.ratios(Variant.PLAIN_AGAIN, Variant.PLAIN);
        out.printf(
                "p99, with to without: %s; without again to without: %s%n",
                Statistics.medianWithInterval(ratios), Statistics.medianWithInterval(noise));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the load runs until the end of the process
    private void measureUsualWrites(FakeFleet fleet, EventLoop loop, Path snapshot) throws Exception {
        AtomicBoolean over = new AtomicBoolean();
        try (Daemon daemon =
                SnapshotWorkload.config(fleet, snapshot, USUAL_PERIOD_MS).start(1)) {
            fleet.nodes.get(0).muted(true);
            new LoadClient(
                            loop,
                            daemon.address("main"),
                            MAX_REQUESTS,
                            i -> request(over.get() ? "x" : SnapshotWorkload.key(i)))
                    .start(USUAL_LOAD_CONNECTIONS, 1);
            Thread.sleep(USUAL_LOAD_MS);
            over.set(true);
            WriteTotals written = daemon.subsystem(SnapshotSubsystem.class).writeTotals();
            out.printf(
                    "at the usual period of 2 s, under load: %d writes of %.0f bytes in 20 s, %.2f MB an hour%n",
                    written.files(),
                    written.bytes() / (double) Math.max(1, written.files()),
                    written.bytes() * USUAL_LOADS_PER_HOUR / 1e6);
        }
    }

    private static LoadClient.LoadRequest request(String key) {
        return new LoadClient.LoadRequest(key, "", null, null);
    }
}
