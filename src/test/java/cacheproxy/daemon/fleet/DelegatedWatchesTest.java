package cacheproxy.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.daemon.DaemonHarness;
import cacheproxy.daemon.Ports;
import cacheproxy.discovery.WatchVersionMessage;
import cacheproxy.fakes.ScriptedServer;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.peer.DatagramEnvelope;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The watch of discovery that one daemon of a fleet keeps for all daemons. */
@Timeout(60)
class DelegatedWatchesTest extends AbstractFleetDaemonTest {
    /** The holder's long poll is open and silent; another proxy has a newer list and reports it. */
    @Test
    void holderOfSilentWatchPollsAgainWhenPeerHasNewerList() throws Exception {
        String host = "{\"host\":\"s-0000beef\",\"dial\":\""
                + fleet.nodes.get(0).dial() + "\",\"site\":\"here\",\"class\":\"node\",\"block\":0,"
                + "\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
        int port = Ports.free();
        try (ScriptedServer discovery = new ScriptedServer(connection -> {
                    if (connection.readRequest().contains("since=0&")) {
                        connection.sendHttp(200, "", "{\"seq\":5,\"whole\":true,\"hosts\":[" + host + "]}");
                        connection.readRequest();
                    }
                    connection.awaitEnd();
                });
                DatagramSocket peer = new DatagramSocket(0, loopback());
                Daemon daemon = Daemon.start(
                        DaemonConfigReader.parse(
                                "f",
                                DaemonHarness.CLASSES + DaemonHarness.MAIN_LISTENER
                                        + "[[pool]]\nname = \"a\"\n[pool.discovery]\naddress = \""
                                        + discovery.dial() + "\"\nzones = [\"here\"]\nkinds = [\"node\"]\n"
                                        + DaemonHarness.route("all", "", "a")
                                        + "[control]\nlisten = \"127.0.0.1:0\"\n"
                                        + fleetOf("p1", port, "", "p1@" + port, "p2@" + peer.getLocalPort())
                                        + "zone = \"b\"\n[fleet.watch]\nlease_ms = 150\nbeat_ms = 100\nlazy_ms = 10000\n"),
                        5)) {
            assertThat(discovery.commands.take()).contains("since=0&");
            assertThat(discovery.commands.take()).contains("since=5&");
            await(daemon, "GET /duties/watch.here.a", "200 ");
            byte[] newer = new DatagramEnvelope(NameHash.of("p2"), 1, List.of(), List.of(NameHash.of("p1")))
                    .seal(
                            NameHash.of("p1"),
                            DelegatedWatches.TOPIC,
                            new WatchVersionMessage(true, NameHash.of("watch.here.a"), 0, 0, 6).encode());
            peer.send(new DatagramPacket(newer, newer.length, loopback(), port));
            // The silent long poll times out after 24 s, so a poll within half of that time was caused by the report.
            assertThat(discovery.commands.poll(12, TimeUnit.SECONDS)).contains("since=5&");
        }
    }
}
