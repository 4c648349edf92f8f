package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.fakes.Demo;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import cacheproxy.fakes.SlowStartMonitor;
import cacheproxy.placement.ServerId;
import cacheproxy.snapshot.SnapshotCodec;
import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.state.LearnedHotKeys;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedLoad;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.ServerStart;
import cacheproxy.snapshot.state.StateSnapshot;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A daemon that saves its learned state, in front of fake servers. */
@Timeout(120)
class MemoryTest {
    /** Long enough that a silent server is still ejected in the next daemon, however slow the machine is. */
    private static final String LIMITS = "[limits]\nconnect_timeout_ms = 10000\nmax_retry_after_ms = 5\n";

    private static final String CLASSES = DaemonHarness.CLASSES
            .replace("aim_ms = 10000", "aim_ms = 300")
            .replace("deadline_ms = 20000", "deadline_ms = 3000");

    @TempDir
    private Path folder;

    private final FakeFleet fleet = fleet();

    private static FakeFleet fleet() {
        try {
            return new FakeFleet(4);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private String file(String memoryKeys) {
        return LIMITS + CLASSES + DaemonHarness.MAIN_LISTENER + "[memory]\npath = \"" + folder.resolve("memory")
                + "\"\nperiod_ms = 50\n" + memoryKeys
                + DaemonHarness.pool("a", fleet, "", fleet.nodes.toArray(new FakeCacheServer[0]))
                + DaemonHarness.route("all", "", "a");
    }

    private Daemon daemon(String text) throws Exception {
        return Daemon.start(DaemonConfigReader.parse("rig", text), 7);
    }

    private LoadClient.LoadResult sendRequests(Daemon daemon, int total, int from) throws Exception {
        return new LoadClient(fleet.loop(), daemon.address("main"), total, i -> DaemonHarness.read("k/" + (from + i)))
                .start(8, 2)
                .get(100, TimeUnit.SECONDS);
    }

    private StateSnapshot readSnapshot() throws Exception {
        return SnapshotCodec.decode(Files.readAllBytes(folder.resolve("memory")))
                .content();
    }

    @Test
    void sendsNothingToKnownSilentServerAfterRestart() throws Exception {
        try (fleet) {
            FakeCacheServer silentServer = fleet.nodes.get(1);
            silentServer.muted(true);
            int first;
            try (Daemon daemon = daemon(file(""))) {
                assertThat(sendRequests(daemon, 400, 0).errors).isEmpty();
                first = silentServer.commands();
                daemon.drain(); // writes the last snapshot
            }
            assertThat(first).as("requests until the silent server was ejected").isPositive();
            assertThat(readSnapshot().pools().get("a").learned().servers()).anyMatch(s -> s.failures() > 0);
            try (Daemon daemon = daemon(file(""))) {
                LoadClient.LoadResult a = sendRequests(daemon, 400, 1000);
                assertThat(a.errors).isEmpty();
                assertThat(a.answered()).isEqualTo(400);
            }
            assertThat(silentServer.commands()).as("requests after the restart").isEqualTo(first);
            Files.delete(folder.resolve("memory"));
            Files.deleteIfExists(folder.resolve("memory.old"));
            try (Daemon daemon = daemon(file(""))) {
                assertThat(sendRequests(daemon, 400, 2000).errors).isEmpty();
            }
            assertThat(silentServer.commands())
                    .as("requests until it was ejected again, without the snapshot")
                    .isGreaterThan(first);
        }
    }

    @Test
    void savesOnDrainAndIncrementsGeneration() throws Exception {
        try (fleet) {
            for (int i = 0; i < 3; i++) {
                try (Daemon daemon = daemon(file("").replace("period_ms = 50", "period_ms = 3600000"))) {
                    assertThat(sendRequests(daemon, 20, 0).errors).isEmpty();
                    daemon.drain();
                }
                assertThat(readSnapshot().generation()).isEqualTo(i + 1);
            }
            assertThat(SnapshotStore.at(folder.resolve("memory.old"))
                            .read()
                            .content()
                            .generation())
                    .isEqualTo(2);
        }
    }

    @Test
    void keepsSavingToSameFileAfterReloadAndAfterRejectedReload() throws Exception {
        try (fleet;
                Daemon daemon = daemon(file(""))) {
            assertThat(sendRequests(daemon, 40, 0).errors).isEmpty();
            while (!Files.exists(folder.resolve("memory"))) {
                Thread.onSpinWait();
            }
            daemon.load(DaemonConfigReader.parse("rig", file("keys = 7\n")));
            long generation = readSnapshot().generation();
            assertThatThrownBy(() -> daemon.load(
                            DaemonConfigReader.parse("rig", file("keys = 8\n[control]\nlisten = \"192.0.2.1:9\"\n"))))
                    .hasMessageContaining("control can't be bound");
            assertThat(sendRequests(daemon, 40, 100).errors).isEmpty();
            daemon.drain();
            assertThat(readSnapshot().generation()).isGreaterThan(generation);
            assertThat(SnapshotStore.at(folder.resolve("memory")).read().notes())
                    .isEmpty();
        }
    }

    private static int serverId(FakeCacheServer node) {
        return ServerId.fromName(DaemonHarness.serverName(node));
    }

    /** Writes a snapshot of pool a in which these servers are ejected, as the previous daemon with this index would. */
    private void writeSnapshot(Path path, int proxyIndex, double writtenMs, double startMs, int... failingServers)
            throws Exception {
        List<LearnedServer> learned = new ArrayList<>();
        for (int id : failingServers) {
            learned.add(new LearnedServer(id, startMs, 4, 80_000, 0));
        }
        SnapshotStore.at(path)
                .write(new StateSnapshot(
                        "coralbay",
                        proxyIndex,
                        writtenMs,
                        0,
                        Map.of(
                                "a",
                                new PoolState(
                                        "",
                                        new LearnedState(
                                                learned,
                                                LearnedState.NONE.latency(),
                                                LearnedState.NONE.originLoad(),
                                                LearnedState.NONE.serverLoad(),
                                                LearnedState.NONE.hotKeys()),
                                        Map.of())),
                        List.of()));
    }

    private int commandsSentTo(FakeCacheServer node, String text, Path seedFrom) throws Exception {
        int before = node.commands();
        try (Daemon daemon = Daemon.start(DaemonConfigReader.parse("rig", text), 7, seedFrom, () -> true)) {
            LoadClient.LoadResult a = sendRequests(daemon, 400, 0);
            assertThat(a.errors).isEmpty();
            assertThat(a.answered()).isEqualTo(400);
        }
        return node.commands() - before;
    }

    @Test
    void ignoresSnapshotsThatDoNotMatch() throws Exception {
        try (fleet) {
            Path path = folder.resolve("memory");
            FakeCacheServer node = fleet.nodes.get(2);
            double now = System.currentTimeMillis();
            writeSnapshot(path, 0, now, 0, serverId(node));
            assertThat(commandsSentTo(node, file(""), null))
                    .as("own snapshot, just written")
                    .isZero();
            writeSnapshot(path, 0, now + 86_400_000, 0, serverId(node));
            assertThat(commandsSentTo(node, file(""), null))
                    .as("snapshot from tomorrow: the clock was set back")
                    .isPositive();
            writeSnapshot(path, 0, now - 365 * 86_400_000.0, 0, serverId(node));
            assertThat(commandsSentTo(node, file(""), null))
                    .as("snapshot from last year")
                    .isPositive();
            writeSnapshot(path, 1, now, 0, serverId(node));
            assertThat(commandsSentTo(node, file(""), null))
                    .as("snapshot of another proxy")
                    .isPositive();
            writeSnapshot(path, 0, now, 0, serverId(node));
            assertThat(commandsSentTo(node, "[site]\nname = \"other\"\n" + file(""), null))
                    .as("snapshot of another site")
                    .isPositive();
            writeSnapshot(path, 0, now, now - 99_000, serverId(node));
            assertThat(commandsSentTo(node, file(""), null))
                    .as("snapshot about an earlier process of the server")
                    .isPositive();
            Files.write(path, new byte[] {1, 2, 3});
            Files.deleteIfExists(folder.resolve("memory.old"));
            assertThat(commandsSentTo(node, file(""), null))
                    .as("not a snapshot file")
                    .isPositive();
        }
    }

    @Test
    void usesSiblingSnapshotOnlyWithoutOwnOne() throws Exception {
        try (fleet) {
            FakeCacheServer node = fleet.nodes.get(2);
            Path sibling = folder.resolve("sibling");
            writeSnapshot(sibling, 5, (double) System.currentTimeMillis(), 0, serverId(node));
            String without = file("").replaceAll("\\[memory]\npath.*\nperiod.*\n", "");
            assertThat(without).doesNotContain("[memory]");
            assertThat(commandsSentTo(node, without, sibling)).isZero();
            assertThat(commandsSentTo(node, file(""), sibling)).isZero();
            writeSnapshot(folder.resolve("memory"), 0, (double) System.currentTimeMillis(), 0);
            assertThat(commandsSentTo(node, file(""), sibling))
                    .as("the own snapshot has no entry for that server")
                    .isPositive();
            assertThat(commandsSentTo(node, without, folder.resolve("none"))).isPositive();
        }
    }

    @Test
    void servesAllWhenSnapshotHasAllServersAsFailing() throws Exception {
        try (fleet) {
            writeSnapshot(
                    folder.resolve("memory"),
                    0,
                    (double) System.currentTimeMillis(),
                    0,
                    fleet.nodes.stream().mapToInt(MemoryTest::serverId).toArray());
            try (Daemon daemon = daemon(file(""))) {
                LoadClient.LoadResult a = sendRequests(daemon, 400, 0);
                assertThat(a.errors).isEmpty();
                assertThat(a.answered()).isEqualTo(400);
                assertThat(a.failed).isZero();
                assertThat(a.served).isPositive();
            }
            assertThat(fleet.nodes).as("no server is ejected").allMatch(n -> n.commands() > 0);
        }
    }

    @Test
    void secondProcessAtSamePathRunsWithoutSnapshot() throws Exception {
        try (fleet) {
            try (Daemon first = daemon(file(""));
                    Daemon second = daemon("[site]\ninstances = 2\nme = 1\n" + file(""))) {
                assertThat(sendRequests(first, 50, 0).errors).isEmpty();
                assertThat(sendRequests(second, 50, 0).errors).isEmpty();
                second.drain();
                first.drain();
            }
            assertThat(readSnapshot().proxyNumber()).isZero();
        }
    }

    /** The learned state is kept over a reload, though a class has changed and the pools are therefore replaced. */
    @Test
    void reloadThatReplacesPoolHandsOverItsLearnedState() throws Exception {
        try (fleet) {
            FakeCacheServer silentServer = fleet.nodes.get(1);
            silentServer.muted(true);
            try (Daemon daemon = daemon(file(""))) {
                assertThat(sendRequests(daemon, 400, 0).errors).isEmpty();
                int before = silentServer.commands();
                assertThat(before).isPositive();
                daemon.load(DaemonConfigReader.parse("rig", file("").replace("aim_ms = 300", "aim_ms = 301")));
                assertThat(sendRequests(daemon, 400, 1000).errors).isEmpty();
                assertThat(silentServer.commands()).isEqualTo(before);
            }
        }
    }

    @Test
    void servesWithoutSnapshotWhenItsDirectoryIsRemoved() throws Exception {
        try (fleet) {
            Path gone = Files.createDirectory(folder.resolve("gone"));
            String text = file("").replace(
                            folder.resolve("memory").toString(),
                            gone.resolve("memory").toString());
            try (Daemon daemon = daemon(text)) {
                awaitFile(gone.resolve("memory"));
                // The daemon may be writing to the directory meanwhile.
                while (Files.exists(gone)) {
                    try (var all = Files.list(gone)) {
                        for (Path p : all.toList()) {
                            Files.deleteIfExists(p);
                        }
                        Files.deleteIfExists(gone);
                    } catch (java.nio.file.DirectoryNotEmptyException | java.nio.file.NoSuchFileException e) {
                        // a file was added or removed meanwhile: try again
                    }
                }
                assertThat(sendRequests(daemon, 100, 0).errors).isEmpty();
                Files.createDirectory(gone);
                assertThat(sendRequests(daemon, 100, 100).errors).isEmpty();
                awaitFile(gone.resolve("memory"));
            }
            String missing = file("").replace(
                            folder.resolve("memory").toString(),
                            folder.resolve("never/memory").toString());
            try (Daemon daemon = daemon(missing)) {
                assertThat(sendRequests(daemon, 100, 0).errors).isEmpty();
                daemon.drain();
            }
            assertThat(Files.exists(folder.resolve("never"))).isFalse();
        }
    }

    private static void awaitFile(Path path) throws InterruptedException {
        while (!Files.exists(path)) {
            if (Thread.interrupted()) {
                throw new InterruptedException(); // the test has timed out
            }
            Thread.onSpinWait();
        }
    }

    /**
     * Discovery reports start times: a server that has restarted meanwhile is cold, whatever the snapshot says about it
     * and about the others.
     */
    @Test
    void limitsLoadOnRestartedServerDespiteMisleadingSnapshot() throws Exception {
        try (FakeFleet listed = new FakeFleet(6);
                fleet) {
            FakeCacheServer cold = listed.nodes.get(0);
            SlowStartMonitor slowStart = new SlowStartMonitor(100, 0.3, 20_000, 300);
            cold.slowStartMonitor(slowStart);
            listed.restart(0);
            // The snapshot has all servers but two as ejected, which is its limit, and the cold one as the best, by its
            // earlier start.
            List<LearnedServer> learned = new ArrayList<>();
            for (int i = 1; i < 5; i++) {
                learned.add(new LearnedServer(i + 1, 0, 9, 1e9, 9));
            }
            learned.add(new LearnedServer(1, 0, 9, 1e9, 0)); // of the server's earlier process
            SnapshotStore.at(folder.resolve("memory"))
                    .write(new StateSnapshot(
                            "demo",
                            0,
                            (double) System.currentTimeMillis(),
                            0,
                            Map.of(
                                    "pages",
                                    new PoolState(
                                            "carp by $key, keys TEXT",
                                            new LearnedState(
                                                    learned,
                                                    new LearnedLatency(1, 1, 1, 0, 1),
                                                    new LearnedLoad(0, 1e9),
                                                    new LearnedLoad(0, 1e9),
                                                    new LearnedHotKeys(1e9, List.of())),
                                            Map.of())),
                            List.of(new ServerStart(1, cold.dial(), 1, false))));
            String text = Demo.configText(listed)
                    .replace(
                            "warm_up_ms = 2000",
                            "warm_up_ms = 20000\nfall_ms = 300\n[limits]\n"
                                    + "unknown_capacity = 100\n[memory]\npath = \"" + folder.resolve("memory")
                                    + "\"\nperiod_ms = 50");
            try (Daemon daemon = daemon(text)) {
                for (int round = 0; round == 0 || slowStart.requestsWhileCold() < 30; round++) {
                    int from = round * 2000;
                    assertThat(new LoadClient(
                                            listed.loop(),
                                            daemon.address("main"),
                                            2000,
                                            i -> DaemonHarness.read("k/" + (from + i)))
                                    .start(8, 4)
                                    .get(100, TimeUnit.SECONDS)
                                    .errors)
                            .isEmpty();
                }
            }
            assertThat(slowStart.worstOverload()).isLessThan(3);
        }
    }

    /**
     * No endpoint list reports start times here: a server that was down when the last daemon ended has started since.
     */
    @Test
    void treatsServerThatWasDownAtShutdownAsRestarted() throws Exception {
        try (fleet) {
            FakeCacheServer node = fleet.nodes.get(3);
            String text = "[site]\nwarm_up_ms = 3600000\n" + file("").replace(LIMITS, DaemonHarness.LIMITS);
            try (Daemon daemon = daemon(text)) {
                node.kill();
                assertThat(sendRequests(daemon, 400, 0).errors).isEmpty();
                daemon.drain();
            }
            assertThat(readSnapshot().serverStarts()).anyMatch(b -> b.id() == serverId(node) && b.down());
            node.restart();
            try (Daemon daemon = daemon(text)) {
                while (readSnapshot().serverStarts().stream()
                        .noneMatch(b -> b.id() == serverId(node) && b.startMs() > 0)) {
                    assertThat(sendRequests(daemon, 100, 0).errors).isEmpty();
                }
                daemon.drain();
            }
            double startMs = readSnapshot().serverStarts().stream()
                    .filter(b -> b.id() == serverId(node))
                    .findFirst()
                    .orElseThrow()
                    .startMs();
            try (Daemon daemon = daemon(text)) {
                daemon.drain();
            }
            assertThat(readSnapshot().serverStarts())
                    .as("start time after another restart of the daemon")
                    .anyMatch(b -> b.id() == serverId(node) && b.startMs() == startMs);
        }
    }
}
