package cacheproxy.bench;

import cacheproxy.fakes.FakeFleet;
import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.StoredSnapshot;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;

/** Kills the daemon itself under load and starts it again; each start must find a snapshot no older than the last. */
final class DaemonKillBench {
    private static final String MAIN_CLASS = "cacheproxy.Main";
    private static final int SERVERS = 8;
    private static final int SLOW_SERVER_MS = 400;
    private static final int SNAPSHOT_PERIOD_MS = 50;
    private static final int CONNECTIONS = 60;
    private static final double REQUESTS_PER_SECOND = 400;
    private static final double MIN_RUN_SECONDS = 0.3;
    private static final double EXTRA_RUN_SECONDS = 0.7;
    private static final int MAX_CONNECT_ATTEMPTS = 2000;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long CONNECT_RETRY_MS = 10;

    private final PrintWriter out;
    private final KillLanes lanes;

    DaemonKillBench(PrintWriter out, int kills) {
        this.out = out;
        lanes = new KillLanes(out, kills);
    }

    /** Runs all kills in a directory and prints what they left. */
    void run(Path directory) throws Exception {
        lanes.run(directory, this::runLane);
    }

    private void runLane(Path directory, int lane) throws Exception {
        SplittableRandom random = new SplittableRandom(lane);
        Path log = directory.resolve("log");
        Path snapshot = directory.resolve("memory");
        try (FakeFleet fleet = new FakeFleet(SERVERS)) {
            fleet.nodes.get(1).muted(true);
            fleet.nodes.get(2).setDelayMs(SLOW_SERVER_MS);
            SnapshotWorkload.storeValues(fleet.nodes);
            long generation = 0;
            while (lanes.takeKill()) {
                InetSocketAddress address = LoopbackPorts.freeTcp();
                Path config = writeConfig(directory, fleet, snapshot, address);
                Process process = JavaProcess.start(log, MAIN_CLASS, "run", config.toString());
                if (awaitListening(process, address)) {
                    sendRequests(fleet, address, random);
                    process.destroyForcibly().waitFor();
                    generation = check(log, snapshot, generation);
                } else {
                    reportFailedStart(log);
                    process.destroyForcibly().waitFor();
                }
            }
        }
    }

    private static Path writeConfig(Path directory, FakeFleet fleet, Path snapshot, InetSocketAddress address)
            throws IOException {
        String text =
                SnapshotWorkload.config(fleet, snapshot, SNAPSHOT_PERIOD_MS).text();
        Path config = directory.resolve("coralbay.toml");
        Files.writeString(config, text.replace("127.0.0.1:0", "127.0.0.1:" + address.getPort()));
        return config;
    }

    private static boolean awaitListening(Process process, InetSocketAddress address) throws InterruptedException {
        for (int i = 0; i < MAX_CONNECT_ATTEMPTS && process.isAlive(); i++) {
            try (Socket socket = new Socket()) {
                socket.connect(address, CONNECT_TIMEOUT_MS);
                return true;
            } catch (IOException e) {
                Thread.sleep(CONNECT_RETRY_MS);
            }
        }
        return false;
    }

    private void reportFailedStart(Path log) throws IOException {
        lanes.countFailedStart();
        out.println("start failed: " + Files.readString(log).lines().findFirst().orElse("nothing told"));
    }

    private void sendRequests(FakeFleet fleet, InetSocketAddress address, SplittableRandom random) throws Exception {
        double seconds = MIN_RUN_SECONDS + random.nextDouble() * EXTRA_RUN_SECONDS;
        OpenLoopLoad load = new OpenLoopLoad(fleet.loop(), BenchConfig.AIM_MS, SnapshotWorkload::key)
                .connect(address, CONNECTIONS)
                .run(REQUESTS_PER_SECOND, seconds, 0);
        lanes.countAnswered(load.answered());
    }

    /** Checks the log of the killed daemon and the snapshot that it left; returns the generation found. */
    private long check(Path log, Path snapshot, long lastGeneration) throws IOException {
        if (Files.readString(log).contains("byte ")) { // a fault in a snapshot is reported with its position
            lanes.countCorrupt();
        }
        lanes.countUnfinishedWrite(snapshot);
        StoredSnapshot found = SnapshotStore.at(snapshot).read();
        lanes.countFound(found);
        long generation = found.content() == null ? 0 : found.content().generation();
        if (generation < lastGeneration || !found.notes().isEmpty()) {
            lanes.countCorrupt();
        }
        return found.content() == null ? lastGeneration : generation;
    }
}
