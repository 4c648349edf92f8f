package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import cacheproxy.config.ConfigException;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.FakeOrigin;
import cacheproxy.fakes.LoadClient;
import cacheproxy.fakes.LoadClient.LoadRequest;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reloads of valid and invalid configurations under load. */
class ReloadTest {
    @TempDir
    private Path folder;

    private static LoadRequest request(int index) {
        String key = "page/" + index % 300;
        return switch (index % 10) {
            case 0 -> new LoadRequest("s/" + index, "c=submit", "submit-" + index, null);
            case 1 -> new LoadRequest("p/" + index, "c=publish,k=publish-" + index, "publish-" + index, null);
            default -> new LoadRequest(key, "c=page", null, FakeOrigin.value(key));
        };
    }

    @Test
    void losesAndRepeatsNothingInHundredReloadsUnderLoad() throws Exception {
        FakeFleet fleet = new FakeFleet(6);
        FakeCacheServer[] node = fleet.nodes.toArray(new FakeCacheServer[0]);
        String[] files = new String[4];
        for (int version = 0; version < files.length; version++) {
            // Routes move between pools, one pool is added and removed, another is replaced, and servers are exchanged.
            files[version] = (version == 2 ? DaemonHarness.LIMITS + "max_attempts = 2\n" : DaemonHarness.LIMITS)
                    + DaemonHarness.CLASSES
                    + DaemonHarness.MAIN_LISTENER
                    + DaemonHarness.pool(
                            "a", fleet, "in_hand = " + (1000 + version), node[0], node[1], node[2 + version % 2])
                    + (version == 1 ? "" : DaemonHarness.pool("b", fleet, "", node[3], node[4], node[5]))
                    + DaemonHarness.route("pages", "prefix = \"page/\"", version % 2 == 0 && version != 1 ? "b" : "a")
                    + DaemonHarness.route("all", "", version == 3 ? "b" : "a");
        }
        try (DaemonHarness harness = new DaemonHarness(fleet, files[0])) {
            fleet.origin.setServiceTimeMs(2);
            int total = 30_000;
            CompletableFuture<LoadClient.LoadResult> load = new LoadClient(
                            fleet.loop(), harness.daemon.address("main"), total, ReloadTest::request)
                    .start(8, 4);
            int reloads = 0;
            while (reloads < 100 || !load.isDone()) {
                harness.load(files[++reloads % files.length]);
            }
            LoadClient.LoadResult account = load.get(60, TimeUnit.SECONDS);
            assertThat(account.errors).isEmpty();
            assertThat(account.answered()).isEqualTo(total);
            assertThat(account.refusedWithoutRetryAfter).isZero();
            assertThat(fleet.ledger.repeatedEffects()).isZero();
            while (harness.daemon.pendingRequests() > 0 || harness.daemon.poolCount() > 2) {
                Thread.onSpinWait(); // until removed pools have been stopped
            }
        }
    }

    @Test
    void keepsEverythingAndReportsErrorsOfUnusableFile() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        FakeCacheServer[] node = fleet.nodes.toArray(new FakeCacheServer[0]);
        String good = DaemonHarness.CLASSES
                + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.pool("a", fleet, "", node)
                + DaemonHarness.route("all", "", "a");
        Path file = folder.resolve("coralbay.toml");
        try (DaemonHarness harness = new DaemonHarness(fleet, good);
                DaemonHarness.ManualClient client = harness.connect();
                ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress before = harness.daemon.address("main");
            String unbindable = good
                    + DaemonHarness.listener("second", "127.0.0.1:" + taken.getLocalPort())
                    + DaemonHarness.listener("third", "127.0.0.1:0");
            for (String bad : new String[] {
                "", "[[[", good.substring(0, good.length() / 2), good.replace("\"a\"", "\"\""), unbindable
            }) {
                Files.writeString(file, bad);
                ConfigException thrown = catchThrowableOfType(ConfigException.class, () -> harness.daemon.reload(file));
                assertThat(thrown.errors())
                        .isNotEmpty()
                        .allMatch(line -> line.startsWith(file + ":") && line.matches(".*:\\d+:\\d+: .*"));
                client.send("mg page/1 v\r\n");
                assertThat(client.lines(2)).containsExactly("VA 15", "value of page/1");
                assertThat(harness.daemon.address("main")).isEqualTo(before);
                assertThat(harness.daemon.addresses()).hasSize(1);
            }
        }
    }

    @Test
    void keepsOtherListenerUndisturbedWhenOneIsRemoved() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        FakeCacheServer node = fleet.nodes.get(0);
        String pools = DaemonHarness.pool("a", fleet, "", node) + DaemonHarness.route("all", "", "a");
        String two = DaemonHarness.CLASSES
                + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.listener("second", "127.0.0.1:0")
                + pools;
        try (DaemonHarness harness = new DaemonHarness(fleet, two);
                DaemonHarness.ManualClient stays = harness.connect();
                DaemonHarness.ManualClient idle = new DaemonHarness.ManualClient(harness.daemon.address("second"));
                DaemonHarness.ManualClient busy = new DaemonHarness.ManualClient(harness.daemon.address("second"))) {
            InetSocketAddress second = harness.daemon.address("second");
            assertThat(idle.send("mn\r\n").line()).isEqualTo("MN");
            fleet.origin.setServiceTimeMs(200);
            busy.send("mg slow v\r\n");
            while (harness.daemon.pendingRequests() == 0) {
                Thread.onSpinWait();
            }
            harness.load(DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER + pools);
            assertThat(idle.line()).isNull();
            assertThat(busy.lines(2)).containsExactly("VA 13", "value of slow");
            assertThat(busy.line())
                    .as("the connection is closed between requests")
                    .isNull();
            assertThat(stays.send("mg other v\r\n").lines(2)).containsExactly("VA 14", "value of other");
            assertThat(catchThrowableOfType(
                            ConnectException.class, () -> new Socket(second.getAddress(), second.getPort())))
                    .isNotNull();
        }
    }

    @Test
    void concludesPendingRequestUnderConfigurationOfItsArrival() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        FakeCacheServer old = fleet.nodes.get(0);
        FakeCacheServer next = fleet.nodes.get(1);
        String head = DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER;
        try (DaemonHarness harness = new DaemonHarness(
                        fleet, head + DaemonHarness.pool("a", fleet, "", old) + DaemonHarness.route("all", "", "a"));
                DaemonHarness.ManualClient client = harness.connect();
                DaemonHarness.ManualClient later = harness.connect()) {
            fleet.origin.setServiceTimeMs(300);
            client.send("mg k v\r\n");
            while (harness.daemon.pendingRequests() == 0) {
                Thread.onSpinWait();
            }
            harness.load(head + DaemonHarness.pool("b", fleet, "", next) + DaemonHarness.route("all", "", "b"));
            later.send("mg k2 v\r\n"); // the new server is cold, so this request may be served by the origin alone
            assertThat(client.lines(2)).containsExactly("VA 10", "value of k");
            assertThat(later.lines(2)).containsExactly("VA 11", "value of k2");
            assertThat(old.commands()).isEqualTo(1);
        }
    }

    @Test
    void sendsNothingFromRemovedPoolAfterDrainGrace() throws Exception {
        FakeFleet fleet = new FakeFleet(3);
        FakeCacheServer[] node = fleet.nodes.toArray(new FakeCacheServer[0]);
        String head = "[site]\ndrain_grace_ms = 100\n"
                + DaemonHarness.CLASSES.replace("20000", "2000").replace("10000", "1000") + DaemonHarness.MAIN_LISTENER;
        try (DaemonHarness harness = new DaemonHarness(
                        fleet,
                        head
                                + DaemonHarness.poolWithoutOrigin("a", "", node[0], node[1])
                                + DaemonHarness.route("all", "", "a"));
                DaemonHarness.ManualClient client = harness.connect()) {
            node[0].muted(true);
            node[1].muted(true);
            client.send("mg k v\r\n");
            while (node[0].commands() + node[1].commands() == 0) {
                Thread.onSpinWait();
            }
            // Before the first attempt times out, after which the request would be sent to the other server.
            harness.load(
                    head + DaemonHarness.poolWithoutOrigin("b", "", node[2]) + DaemonHarness.route("all", "", "b"));
            assertThat(client.line()).startsWith("SERVER_ERROR busy ");
            assertThat(node[0].commands() + node[1].commands()).isEqualTo(1);
        }
    }

    /** Guards against answering a write that has begun in one grammar in the grammar of a later configuration. */
    @Test
    void answersWriteInGrammarThatItBeganIn() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        String pools = DaemonHarness.pool("a", fleet, "", fleet.nodes.get(0)) + DaemonHarness.route("all", "", "a");
        String open = DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER + pools;
        String strict = DaemonHarness.CLASSES + "[[listen]]\nname = \"main\"\naddress = \"127.0.0.1:0\"\n" + pools;
        try (DaemonHarness harness = new DaemonHarness(fleet, open);
                DaemonHarness.ManualClient whole = harness.connect();
                DaemonHarness.ManualClient half = harness.connect();
                DaemonHarness.ManualClient halfInvalid = harness.connect()) {
            String stored = whole.send("ms page/1 5\r\nhello\r\n").line();
            String invalid = whole.send("ms page/1 5 X\r\nhello\r\n").line();
            assertThat(half.send("mn\r\nms page/1 5\r\nhe").line())
                    .isEqualTo("MN"); // so the line of ms has been read too
            assertThat(halfInvalid.send("mn\r\nms page/1 5 X\r\nhe").line()).isEqualTo("MN");
            harness.load(strict);
            assertThat(half.send("llo\r\n").line()).isEqualTo(stored);
            assertThat(halfInvalid.send("llo\r\n").line()).isEqualTo(invalid);
        }
    }
}
