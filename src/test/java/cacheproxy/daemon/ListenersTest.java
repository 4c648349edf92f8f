package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.ScriptedServer;
import cacheproxy.routes.RouteInput;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The commands that clients of an open listener may send, and the effect of routes on keys. */
class ListenersTest {
    private static String file(FakeFleet fleet) {
        return DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER
                + "[[listen]]\nname = \"strict\"\naddress = \"127.0.0.1:0\"\n"
                + DaemonHarness.pool("a", fleet, "", fleet.nodes.toArray(new FakeCacheServer[0]))
                + DaemonHarness.route("long", "prefix = \"long/\"\nadd = \"" + "x".repeat(40) + "\"", "a")
                + DaemonHarness.route("swap", "regex = \"^([a-z]+)-([0-9]+)$\"\nreplace = \"$2/$1\"", "a")
                + "[[route]]\nname = \"off\"\nkey = \"off\"\nrefuse_ms = 700\n[[route]]\nname = \"bad\"\nkey = \"bad\"\nfail = true\n"
                + DaemonHarness.route("pages", "prefix = \"page/\"", "a");
    }

    @Test
    void acceptsPlainCommandsOfStandardClientsAndAnswersOthersWithOneLine() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        try (DaemonHarness harness = new DaemonHarness(fleet, file(fleet));
                DaemonHarness.ManualClient client = harness.connect()) {
            String[][] exchanges = {
                {"mn", "MN"},
                {"mg page/1 v", "VA 15", "value of page/1"},
                {"mg page/1 v O77 k", "VA 15 O77 kpage/1", "value of page/1"},
                {"mg page/1 v Pc=page,d=5000", "VA 15", "value of page/1"},
                {"mg page/1 k v Oabc", "VA 15 Oabc kpage/1", "value of page/1"},
                {"ms page/9 2\r\nhi", "HD"},
                {"ms page/9 2 O5 k\r\nho", "HD O5 kpage/9"},
                {"mg page/1", "CLIENT_ERROR mg needs the flag v"},
                {"mg page/1 v t", "CLIENT_ERROR flag t is not offered; mg takes v, O, k and P"},
                {"mg page/1 v q", "CLIENT_ERROR flag q is not offered; mg takes v, O, k and P"},
                {"ms page/1 2 T30\r\nhi", "CLIENT_ERROR flag T is not offered; ms takes O, k and P"},
                {"md page/1", "ERROR this listener takes mg, ms and mn, not md"},
                {"me page/1", "ERROR this listener takes mg, ms and mn, not me"},
                {"get page/1", "ERROR this listener takes mg, ms and mn"},
                {
                    "mg " + "k".repeat(251) + " v",
                    "CLIENT_ERROR a key has 1 to 250 printing ASCII characters, and so has the line"
                },
                {"mg page/" + "k".repeat(245) + " v", "VA 259", "value of page/" + "k".repeat(245)},
                {"mg page/1 v Pc=nothing", "CLIENT_ERROR unknown class, tenant or deadline"},
                {"mg page/1 v Pd=x", "CLIENT_ERROR unknown class, tenant or deadline"},
                {"mg other v", "CLIENT_ERROR no route takes this key"},
                {"mg off v", "SERVER_ERROR busy 700"},
                {"mg bad v", "SERVER_ERROR failed"},
                {"mg ab-12 v", "VA 14", "value of 12/ab"},
                {"mg long/" + "k".repeat(240) + " v", "CLIENT_ERROR route long makes no legal key of this one"},
            };
            for (String[] exchange : exchanges) {
                client.send(exchange[0] + "\r\n");
                for (int i = 1; i < exchange.length; i++) {
                    assertThat(client.line()).as(exchange[0]).isEqualTo(exchange[i]);
                }
            }
            assertThat(client.send("mg page/2 v\r\n").line())
                    .as("the connection is still usable")
                    .isEqualTo("VA 15");
            assertThat(fleet.ledger.effectCount("hi")).isEqualTo(1);
        }
    }

    @Test
    void rejectsOnStrictListenerWhatThePlatformRejects() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        try (DaemonHarness harness = new DaemonHarness(fleet, file(fleet));
                DaemonHarness.ManualClient client = new DaemonHarness.ManualClient(harness.daemon.address("strict"))) {
            assertThat(client.send("mg page/1 v\r\n").line()).isEqualTo("CLIENT_ERROR bad command line format");
            assertThat(client.send("mg page/1 v O1 Pc=page,d=9000\r\n").lines(2))
                    .containsExactly("VA 15 O1", "value of page/1");
            assertThat(client.send("ms page/1 2 O2 Pc=submit,d=9000\r\nhi\r\n").line())
                    .isEqualTo("HD O2 cwO2".replace("wO2", "w2"));
        }
    }

    @Test
    void answersPipelinedCommandsInOrder() throws Exception {
        FakeFleet fleet = new FakeFleet(3);
        try (DaemonHarness harness = new DaemonHarness(fleet, file(fleet));
                DaemonHarness.ManualClient client = harness.connect()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 200; i++) {
                byte[] value = ("value of page/" + i).getBytes(StandardCharsets.UTF_8);
                String key = "page/" + i;
                fleet.nodes.forEach(node -> node.store(key, value));
                all.append("mg page/").append(i).append(" v O").append(i).append("\r\n");
            }
            client.send(all.toString());
            for (int i = 0; i < 200; i++) {
                assertThat(client.line()).isEqualTo("VA " + ("value of page/" + i).length() + " O" + i);
                assertThat(client.line()).isEqualTo("value of page/" + i);
            }
        }
    }

    @Test
    void explainsWhichServerIsChosenAndWhatWasPassedOver() throws Exception {
        FakeFleet fleet = new FakeFleet(5);
        String text = file(fleet);
        DaemonConfig file = DaemonConfigReader.parse("f", text);
        RouteExplainer explainer = new RouteExplainer(file);
        try (DaemonHarness harness = new DaemonHarness(fleet, text);
                DaemonHarness.ManualClient client = harness.connect()) {
            for (int i = 0; i < 40; i++) {
                int[] before =
                        fleet.nodes.stream().mapToInt(FakeCacheServer::commands).toArray();
                client.send("mg page/" + i + " v\r\n").lines(2);
                String receiver = "";
                for (int node = 0; node < before.length; node++) {
                    if (fleet.nodes.get(node).commands() > before[node]) {
                        receiver = DaemonHarness.serverName(fleet.nodes.get(node));
                    }
                }
                assertThat(explainer.lines(new RouteInput("main", "page/" + i, 0, 0, false), false))
                        .containsExactly("page/" + i + " route=pages pool=a server=" + receiver);
            }
        }
        assertThat(explainer.lines(new RouteInput("main", "ab-12", 0, 0, true), true))
                .first()
                .isEqualTo("ab-12 route=swap pool=a server=store key=12/ab");
        assertThat(explainer.lines(new RouteInput("main", "page/1", 0, 0, false), true))
                .contains("  passed over off: key is not off");
        assertThat(explainer.lines(new RouteInput("main", "off", 0, 0, false), false))
                .containsExactly("off route=off answer=refused after=700ms");
        assertThat(explainer.lines(new RouteInput("main", "zz", 0, 0, false), false))
                .containsExactly("zz route=- answer=rejected (no route takes it)");
    }

    /**
     * A client that connected earlier would wait for the list while its deadline approaches; the first client that can
     * connect is served at once.
     */
    @Test
    void acceptsNoClientBeforeEndpointListAndReportsAddressInUse() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        FakeCacheServer node = fleet.nodes.get(0);
        CountDownLatch polled = new CountDownLatch(1);
        CountDownLatch mayAnswer = new CountDownLatch(1);
        String host = "{\"host\":\"s-0000beef\",\"dial\":\"" + node.dial()
                + "\",\"site\":\"here\",\"class\":\"node\",\"block\":0,"
                + "\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
        try (fleet;
                ScriptedServer discovery = new ScriptedServer(connection -> {
                    connection.readRequest();
                    polled.countDown();
                    mayAnswer.await();
                    connection.sendHttp(200, "", "{\"seq\":5,\"whole\":true,\"hosts\":[" + host + "]}");
                    connection.awaitEnd();
                })) {
            int port = Ports.free();
            String text = DaemonHarness.CLASSES + DaemonHarness.listener("main", "127.0.0.1:" + port)
                    + "[[pool]]\nname = \"a\"\n[pool.discovery]\naddress = \"" + discovery.dial()
                    + "\"\nzones = [\"here\"]\nkinds = [\"node\"]\n" + DaemonHarness.route("all", "", "a");
            CompletableFuture<Daemon> starting = CompletableFuture.supplyAsync(() -> {
                try {
                    return Daemon.start(DaemonConfigReader.parse("f", text), 3);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            polled.await();
            assertThatThrownBy(() -> new Socket(InetAddress.getLoopbackAddress(), port))
                    .isInstanceOf(ConnectException.class);
            mayAnswer.countDown();
            try (Daemon daemon = starting.get();
                    DaemonHarness.ManualClient client = new DaemonHarness.ManualClient(daemon.address("main"))) {
                client.send("ms k 1\r\nx\r\nmg k v\r\n");
                assertThat(client.line()).startsWith("HD");
                assertThatThrownBy(() -> Daemon.start(DaemonConfigReader.parse("f", text), 3))
                        .isInstanceOf(ConfigException.class)
                        .hasMessageContaining("listener main can't be bound to 127.0.0.1:" + port);
            }
        }
    }
}
