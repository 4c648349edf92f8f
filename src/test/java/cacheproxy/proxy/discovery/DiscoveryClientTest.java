package cacheproxy.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.Fleet;
import cacheproxy.proxy.RefusingAddress;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests how the proxy handles the behaviour of discovery, on loopback sockets. */
class DiscoveryClientTest {
    private static ScriptedServer serverWithHits() throws Exception {
        return ScriptedServer.node(line -> "VA 5 O" + ScriptedServer.requestId(line) + " h1\r\nhello\r\n");
    }

    /** A list of version 43 with this server only, as JSON text. */
    private static String list(ScriptedServer node, boolean complete) {
        JsonArray hosts = new JsonArray();
        hosts.add(Fleet.host("s-0000beef", "node-fast", node.dial(), "up"));
        return Fleet.list(43, complete, hosts).toString();
    }

    private static String served(Fleet fleet) throws Exception {
        try (Fleet.Client client = fleet.client()) {
            return client.read("1").line();
        }
    }

    @Test
    void keepsListAndPollsAgainAfterFailuresAndInvalidResponses() throws Exception {
        ScriptedServer node = serverWithHits();
        JsonObject unknown = Fleet.list(44, true, new JsonArray());
        unknown.getAsJsonArray("hosts").add(Fleet.host("s-1", "no-such-class", "127.0.0.1:1", "up"));
        JsonArray twice = new JsonArray();
        JsonArray negative = new JsonArray();
        for (int i = 0; i < 2; i++) {
            twice.add(Fleet.host("s-2", "node-fast", "127.0.0.1:1", "up"));
        }
        negative.add(Fleet.host("s-3", "node-fast", "127.0.0.1:1", "up"));
        negative.get(0).getAsJsonObject().addProperty("share", -1);
        String[] bad = {
            "{",
            "[]",
            "{\"seq\":44,\"whole\":true,\"hosts\":[{}]}",
            unknown.toString(),
            Fleet.list(44, true, twice).toString(),
            Fleet.list(44, true, negative).toString(),
            Fleet.list(40, false, new JsonArray()).toString()
        }; // the last one is older than the list held
        CountDownLatch all = new CountDownLatch(bad.length + 3);
        ScriptedServer discovery = new ScriptedServer(connection -> {
            for (String request; (request = connection.readRequest()) != null; ) {
                int call = (int) (bad.length + 3 - all.getCount());
                all.countDown();
                if (call == 0) {
                    connection.sendHttp(503, "", "");
                } else if (call == 1) {
                    connection.reset();
                } else if (call == 2) {
                    connection.send(
                            "HTTP/1.1 200 X\r\nContent-Length: 1000\r\n\r\n{\"seq\":44,\"whole\":true,\"hosts\":[]}");
                    return; // cut off
                } else if (call < bad.length + 3) {
                    connection.sendHttp(200, "", bad[call - 3]);
                } else {
                    connection.awaitEnd();
                }
            }
        });
        try (Fleet fleet = new Fleet()
                .node(node)
                .discovery(discovery)
                .set("caps.connect-timeout", "50.0")
                .set("guarantees.ask-within", "200.0")
                .start()) {
            for (int i = 0; i < bad.length + 4; i++) {
                assertThat(discovery.awaitCommand()).contains("since=41&");
            }
            assertThat(served(fleet)).isEqualTo("VA 5 O1");
        }
    }

    @Test
    void pollsAgainAfterEachResponseAndAppliesChanges() throws Exception {
        ScriptedServer first = serverWithHits();
        ScriptedServer second = serverWithHits();
        CountDownLatch served = new CountDownLatch(1);
        CountDownLatch pollReceived = new CountDownLatch(1);
        ScriptedServer discovery = new ScriptedServer(connection -> {
            connection.readRequest();
            connection.sendHttp(200, "", list(first, true));
            connection.readRequest();
            served.await();
            JsonArray changes = new JsonArray();
            changes.add(Fleet.host("s-0000beef", "node-fast", first.dial(), "draining"));
            changes.add(Fleet.host("s-0000cafe", "node-fast", second.dial(), "up"));
            connection.sendHttp(200, "", Fleet.list(44, false, changes).toString());
            connection.readRequest();
            pollReceived.countDown();
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet()
                .discovery(discovery)
                .set("caps.connect-timeout", "50.0")
                .start()) {
            fleet.closeables.add(first);
            fleet.closeables.add(second);
            assertThat(discovery.awaitCommand()).contains("since=41&");
            assertThat(discovery.awaitCommand()).contains("since=43&");
            assertThat(served(fleet)).isEqualTo("VA 5 O1");
            assertThat(first.commands).hasSize(1);
            served.countDown();
            assertThat(discovery.awaitCommand()).contains("since=44&");
            pollReceived.await();
            assertThat(served(fleet)).isEqualTo("VA 5 O1");
            assertThat(second.commands).hasSize(1);
        }
    }

    /**
     * The first long poll never gets a response. Without the refused connections, the proxy would rely on it beyond the
     * next change.
     */
    @Test
    void replacesSilentLongPollWhenReadyServersRefuseConnections() throws Exception {
        ScriptedServer successor = serverWithHits();
        CountDownLatch pollReceived = new CountDownLatch(1);
        ScriptedServer discovery = new ScriptedServer(connection -> {
            connection.readRequest();
            if (pollReceived.getCount() == 0) {
                connection.sendHttp(200, "", list(successor, true));
                connection.readRequest();
            }
            pollReceived.countDown();
            connection.awaitEnd();
        });
        try (RefusingAddress gone = new RefusingAddress();
                Fleet fleet = new Fleet()
                        .node(gone.dial())
                        .discovery(discovery)
                        .set("caps.connect-timeout", "50.0")
                        .set("guarantees.ask-within", "200.0")
                        .start()) {
            fleet.closeables.add(successor);
            assertThat(discovery.awaitCommand()).contains("since=41&");
            assertThat(served(fleet)).startsWith("SERVER_ERROR busy"); // refused, and there is no origin
            assertThat(discovery.awaitCommand()).contains("since=41&");
            assertThat(discovery.awaitCommand()).contains("since=43&");
            assertThat(served(fleet)).isEqualTo("VA 5 O1");
        }
    }

    /**
     * There is no other sign of a failure: no server refuses a connection, no other proxy sends a message, and
     * discovery never reports the drain of a server.
     */
    @Test
    void replacesLongPollThatIsSilentFromItsStartWithinStalenessBound() throws Exception {
        for (String mode : new String[] {"ask", "push"}) {
            ScriptedServer drained = serverWithHits();
            ScriptedServer other = serverWithHits();
            CountDownLatch pollReceived = new CountDownLatch(1);
            ScriptedServer discovery = new ScriptedServer(connection -> {
                connection.readRequest();
                if (pollReceived.getCount() == 0) {
                    JsonArray changes = new JsonArray();
                    changes.add(Fleet.host("s-00000001", "node-fast", drained.dial(), "draining"));
                    changes.add(Fleet.host("s-0000cafe", "node-fast", other.dial(), "up"));
                    connection.sendHttp(200, "", Fleet.list(42, false, changes).toString());
                    connection.readRequest();
                }
                pollReceived.countDown();
                connection.awaitEnd();
            });
            try (Fleet fleet = new Fleet()
                    .node(drained)
                    .discovery(discovery)
                    .set("caps.connect-timeout", "50.0")
                    .set("discovery", mode)
                    .start()) {
                fleet.closeables.add(other);
                String watch = discovery.awaitCommand();
                assertThat(watch).contains("since=41&");
                String wait = watch.substring(watch.indexOf("timeout_ms=") + 11, watch.indexOf(" HTTP"));
                assertThat(Integer.parseInt(wait))
                        .as("wait in ms of a poll that may get no response")
                        .isLessThan(6000 / 2);
                assertThat(discovery.awaitCommand()).as(mode).contains("since=41&timeout_ms=1 ");
                assertThat(discovery.awaitCommand()).as(mode).contains("since=42&");
                assertThat(served(fleet)).isEqualTo("VA 5 O1");
                assertThat(other.commands).hasSize(1);
            }
        }
    }

    /**
     * A late response with an older list must not replace the newer one. That discovery has restarted its numbering
     * shows only when the complete list is requested.
     */
    @Test
    void acceptsOlderCompleteListOnlyAfterRequestingIt() throws Exception {
        ScriptedServer node = serverWithHits();
        JsonArray hosts = new JsonArray();
        hosts.add(Fleet.host("s-0000cafe", "node-fast", node.dial(), "up"));
        ScriptedServer discovery = new ScriptedServer(connection -> {
            for (int i = 0; i < 2; i++) {
                connection.readRequest();
                connection.sendHttp(200, "", Fleet.list(7, true, hosts).toString());
            }
            connection.readRequest();
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet()
                .discovery(discovery)
                .set("caps.connect-timeout", "50.0")
                .start()) {
            fleet.closeables.add(node);
            assertThat(discovery.awaitCommand()).contains("since=41&");
            assertThat(discovery.awaitCommand()).contains("since=0&timeout_ms=1 ");
            assertThat(discovery.awaitCommand()).contains("since=7&");
            assertThat(served(fleet)).isEqualTo("VA 5 O1");
        }
    }

    /** A proxy that polls again soon after this peer has announced a newer version. */
    private static Fleet fleetWithPeer(ScriptedServer discovery, DatagramSocket other) throws Exception {
        Fleet setup = new Fleet()
                .node(serverWithHits())
                .discovery(discovery)
                .set("caps.connect-timeout", "50.0")
                .set("guarantees.ask-within", "200.0");
        JsonArray peers = new JsonArray();
        peers.add("127.0.0.1:" + other.getLocalPort());
        setup.config.add("peers", peers);
        setup.config.addProperty("peer_listen", "127.0.0.1:0");
        return setup;
    }

    /**
     * Discovery responds to waiting polls one after another. A client that cancels a waiting poll goes to the end of
     * the queue, or is rejected.
     */
    @Test
    void keepsWaitingPollWhenAnotherProxyIsServedFirst() throws Exception {
        CountDownLatch claimed = new CountDownLatch(1);
        ScriptedServer discovery = new ScriptedServer(connection -> {
            connection.readRequest();
            claimed.await();
            connection.sendHttp(200, "", Fleet.list(42, false, new JsonArray()).toString());
            connection.readRequest();
            connection.awaitEnd();
        });
        try (DatagramSocket other = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            try (Fleet fleet = fleetWithPeer(discovery, other).start()) {
                assertThat(discovery.awaitCommand()).contains("since=41&timeout_ms=2800");
                other.send(new DatagramPacket(version(42), version(42).length, fleet.proxy.peerAddress()));
                fleet.proxy.runAfter(500, claimed::countDown); // discovery serves this proxy some time after the other
                assertThat(discovery.awaitCommand()).contains("since=42&timeout_ms=2800");
                assertThat(served(fleet)).isEqualTo("VA 5 O1");
            }
        }
    }

    /**
     * Discovery neither refuses the poll nor responds to it. Invalid or truncated messages, and versions that the proxy
     * already has, have no effect.
     */
    @Test
    void replacesSilentLongPollWhenAnotherProxyHasNewerVersion() throws Exception {
        ScriptedServer discovery = new ScriptedServer(connection -> {
            connection.readRequest();
            connection.awaitEnd();
        });
        try (DatagramSocket other = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            try (Fleet fleet = fleetWithPeer(discovery, other).start()) {
                assertThat(discovery.awaitCommand()).contains("since=41&");
                SocketAddress to = fleet.proxy.peerAddress();
                for (byte[] message : List.of(new byte[256], new byte[] {'V'}, version(41), version(40), version(42))) {
                    other.send(new DatagramPacket(message, message.length, to));
                }
                assertThat(discovery.awaitCommand()).contains("since=41&");
                assertThat(served(fleet)).isEqualTo("VA 5 O1");
            }
        }
    }

    @Test
    void announcesOnlyNewVersionsAndEachOnce() throws Exception {
        ScriptedServer node = serverWithHits();
        CountDownLatch announced = new CountDownLatch(1); // versions in quick succession are announced together
        ScriptedServer discovery = new ScriptedServer(connection -> {
            connection.readRequest();
            connection.sendHttp(200, "", list(node, true));
            connection.readRequest();
            connection.sendHttp(200, "", Fleet.list(43, false, new JsonArray()).toString());
            connection.readRequest();
            announced.await();
            connection.sendHttp(200, "", Fleet.list(44, false, new JsonArray()).toString());
            connection.awaitEnd();
        });
        try (DatagramSocket other = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            other.setSoTimeout(20_000);
            Fleet setup = new Fleet().discovery(discovery).set("caps.connect-timeout", "50.0");
            JsonArray peers = new JsonArray();
            peers.add("127.0.0.1:" + other.getLocalPort());
            setup.config.add("peers", peers);
            setup.config.addProperty("peers_all", "127.0.0.1:" + other.getLocalPort());
            setup.config.addProperty("peer_listen", "127.0.0.1:0");
            try (Fleet fleet = setup.start()) {
                fleet.closeables.add(node);
                for (long seq : new long[] {43, 44}) {
                    DatagramPacket packet = new DatagramPacket(new byte[256], 256);
                    other.receive(packet);
                    assertThat(Arrays.copyOf(packet.getData(), packet.getLength()))
                            .isEqualTo(version(seq));
                    announced.countDown();
                }
            }
        }
    }

    private static byte[] version(long seq) {
        return ByteBuffer.allocate(9).put((byte) 'V').putLong(seq).array();
    }

    @Test
    void closesConnectionToMovedOrRemovedServerAfterLastResponse() throws Exception {
        for (String health : new String[] {"up", "removed"}) {
            CountDownLatch mayRespond = new CountDownLatch(1);
            CountDownLatch ended = new CountDownLatch(1);
            ScriptedServer old = new ScriptedServer(connection -> {
                String line = connection.readCommand();
                mayRespond.await();
                connection.send("VA 5 O" + ScriptedServer.requestId(line) + " h1\r\nhello\r\n");
                connection.awaitEnd();
                ended.countDown();
            });
            ScriptedServer moved = serverWithHits();
            CountDownLatch requestSent = new CountDownLatch(1);
            ScriptedServer discovery = new ScriptedServer(connection -> {
                connection.readRequest();
                requestSent.await();
                JsonArray changes = new JsonArray();
                changes.add(Fleet.host("s-00000001", "node-fast", moved.dial(), health));
                connection.sendHttp(200, "", Fleet.list(42, false, changes).toString());
                connection.readRequest();
                connection.awaitEnd();
            });
            try (Fleet fleet = new Fleet()
                            .node(old)
                            .discovery(discovery)
                            .set("caps.connect-timeout", "50.0")
                            .start();
                    Fleet.Client client = fleet.client()) {
                fleet.closeables.add(moved);
                client.read("1");
                old.awaitCommand();
                discovery.awaitCommand();
                requestSent.countDown();
                discovery.awaitCommand(); // the change has been applied
                mayRespond.countDown();
                assertThat(client.line()).isEqualTo("VA 5 O1");
                client.line();
                assertThat(ended.await(20, TimeUnit.SECONDS)).as(health).isTrue();
                if (health.equals("up")) {
                    assertThat(served(fleet)).isEqualTo("VA 5 O1");
                    assertThat(moved.commands).hasSize(1);
                }
            }
        }
    }

    @Test
    void derivesServerIdsFromHostNames() {
        assertThat(cacheproxy.placement.ServerId.fromName("s-5be2a07c")).isEqualTo(0x5be2a07c);
        assertThat(cacheproxy.placement.ServerId.fromName("s-f2ffffff")).isEqualTo(0xf2ffffff);
        assertThat(cacheproxy.placement.ServerId.fromName("cache.example"))
                .isEqualTo(cacheproxy.placement.ServerId.fromName("cache.example"));
    }
}
