package cacheproxy.bench;

import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.snapshot.SnapshotCodec;
import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.state.StateSnapshot;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The first ten seconds after a start: without a snapshot, with a fresh one, and with one that is an hour old. */
final class RestartBench {
    private static final int MUTE_SERVERS = 5;
    private static final int SLOW_SERVERS = 4;
    private static final int SLOW_SERVER_MS = 400;
    private static final double ORIGIN_SERVICE_MS = 2;
    private static final int SNAPSHOT_PERIOD_MS = 2000;
    private static final int CONNECTIONS = 500;
    private static final double REQUESTS_PER_SECOND = 400;
    private static final double LEARNING_SECONDS = 8;
    private static final double MEASURED_SECONDS = 10;
    private static final long DRAIN_MS = 1500;
    private static final int SEED_OFFSET = 100;
    private static final double HOUR_MS = 3_600_000;

    private static final List<Variant> VARIANTS = List.of(Variant.values());

    private enum Variant {
        NO_SNAPSHOT("no file"),
        FRESH("the file"),
        HOUR_OLD("an hour old");

        private final String label;

        Variant(String label) {
            this.label = label;
        }
    }

    private final PrintWriter out;
    private final int rounds;
    private final RoundSamples<Variant> inTime;
    private final RoundSamples<Variant> sentToBad;
    private final RoundSamples<Variant> p99Ms;

    RestartBench(PrintWriter out, int rounds) {
        this.out = out;
        this.rounds = rounds;
        inTime = new RoundSamples<>(VARIANTS, rounds);
        sentToBad = new RoundSamples<>(VARIANTS, rounds);
        p99Ms = new RoundSamples<>(VARIANTS, rounds);
    }

    /** Runs all rounds, with other bad servers in each, and prints the variants beside one another. */
    void run(Path directory) throws Exception {
        try (EventLoopThread clients = new EventLoopThread();
                FakeFleet fleet = new FakeFleet(SnapshotWorkload.SERVERS)) {
            SnapshotWorkload.storeValues(fleet.nodes);
            fleet.origin.setServiceTimeMs(ORIGIN_SERVICE_MS);
            for (int i = 0; i < rounds; i++) {
                int round = i;
                List<FakeCacheServer> bad = makeBadServers(fleet, round);
                StateSnapshot learned = learn(fleet, clients.loop(), directory.resolve("learned" + round), round);
                RoundSamples.runRound(round, VARIANTS, variant -> {
                    Path snapshot = directory.resolve("arm" + round + "-" + VARIANTS.indexOf(variant));
                    writeSnapshot(snapshot, learned, variant);
                    measure(fleet, clients.loop(), snapshot, bad, variant, round);
                });
                printRound(round);
            }
        }
        printSummary();
    }

    private static List<FakeCacheServer> makeBadServers(FakeFleet fleet, int round) {
        List<FakeCacheServer> bad = new ArrayList<>();
        for (int i = 0; i < SnapshotWorkload.SERVERS; i++) {
            int role = (i * 7 + round * 5) % SnapshotWorkload.SERVERS;
            boolean mute = role < MUTE_SERVERS;
            boolean slow = !mute && role < MUTE_SERVERS + SLOW_SERVERS;
            FakeCacheServer server = fleet.nodes.get(i);
            server.muted(mute);
            server.setDelayMs(slow ? SLOW_SERVER_MS : 0);
            if (mute || slow) {
                bad.add(server);
            }
        }
        return bad;
    }

    /** Has a daemon learn which servers are bad; returns the snapshot that it writes at its end. */
    private static StateSnapshot learn(FakeFleet fleet, EventLoop loop, Path snapshot, int seed) throws Exception {
        try (Daemon daemon =
                SnapshotWorkload.config(fleet, snapshot, SNAPSHOT_PERIOD_MS).start(seed)) {
            load(loop, daemon, LEARNING_SECONDS);
            daemon.drain();
        }
        return SnapshotCodec.decode(Files.readAllBytes(snapshot)).content();
    }

    private static void writeSnapshot(Path file, StateSnapshot learned, Variant variant) throws IOException {
        if (variant == Variant.NO_SNAPSHOT) {
            return;
        }
        double ageMs = variant == Variant.HOUR_OLD ? HOUR_MS : 0;
        SnapshotStore.at(file)
                .write(new StateSnapshot(
                        learned.site(),
                        learned.proxyNumber(),
                        System.currentTimeMillis() - ageMs,
                        0,
                        learned.pools(),
                        learned.serverStarts()));
    }

    private void measure(
            FakeFleet fleet, EventLoop loop, Path snapshot, List<FakeCacheServer> bad, Variant variant, int round)
            throws Exception {
        int commandsBefore = commands(bad);
        try (Daemon daemon =
                SnapshotWorkload.config(fleet, snapshot, SNAPSHOT_PERIOD_MS).start(SEED_OFFSET + round)) {
            OpenLoopLoad load = load(loop, daemon, MEASURED_SECONDS);
            inTime.set(variant, round, load.inTimeRatio());
            p99Ms.set(variant, round, load.percentileNanos(99) / 1e6);
        }
        sentToBad.set(variant, round, commands(bad) - commandsBefore);
    }

    private static int commands(List<FakeCacheServer> servers) {
        return servers.stream().mapToInt(FakeCacheServer::commands).sum();
    }

    private static OpenLoopLoad load(EventLoop loop, Daemon daemon, double seconds) throws Exception {
        return new OpenLoopLoad(loop, BenchConfig.AIM_MS, SnapshotWorkload::key)
                .connect(daemon.address("main"), CONNECTIONS)
                .run(REQUESTS_PER_SECOND, seconds, DRAIN_MS);
    }

    private void printRound(int round) {
        out.printf(
                "round %d: within aim %.4f, %.4f, %.4f; sent to the bad %.0f, %.0f, %.0f%n",
                round,
                inTime.get(Variant.NO_SNAPSHOT, round),
                inTime.get(Variant.FRESH, round),
                inTime.get(Variant.HOUR_OLD, round),
                sentToBad.get(Variant.NO_SNAPSHOT, round),
                sentToBad.get(Variant.FRESH, round),
                sentToBad.get(Variant.HOUR_OLD, round));
        out.flush();
    }

    private void printSummary() {
        out.printf(
                "%n%d of %d nodes silent, %d answer after 400 ms; %.0f requests a second for 10 s after a start, %d rounds%n",
                MUTE_SERVERS, SnapshotWorkload.SERVERS, SLOW_SERVERS, REQUESTS_PER_SECOND, rounds);
        out.printf("%-14s %26s %26s %22s%n", "", "within aim", "sent to the bad ones", "p99 ms");
        for (Variant variant : VARIANTS) {
            out.printf(
                    "%-14s %26s %26s %22s%n",
                    variant.label,
                    Statistics.meanWithInterval(inTime.of(variant), 4),
                    Statistics.meanWithInterval(sentToBad.of(variant), 0),
                    Statistics.meanWithInterval(p99Ms.of(variant), 0));
        }
        for (Variant variant : List.of(Variant.FRESH, Variant.HOUR_OLD)) {
            out.println(variant.label + " less no file, round by round: within aim "
                    + Statistics.meanWithInterval(inTime.differences(variant, Variant.NO_SNAPSHOT), 4)
                    + ", sent to the bad "
                    + Statistics.meanWithInterval(sentToBad.differences(variant, Variant.NO_SNAPSHOT), 1));
        }
    }
}
