package cacheproxy.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.daemon.DaemonHarness;
import cacheproxy.daemon.Ports;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import cacheproxy.fleet.healthcheck.HealthCheckMessage;
import cacheproxy.fleet.healthcheck.HealthCheckMessageKind;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.peer.DatagramEnvelope;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Health checks that daemons of a fleet share. */
@Timeout(60)
class FleetHealthChecksTest extends AbstractFleetDaemonTest {
    private static final int CHECKSUM_BYTES = 4;
    private static final int MAC_BYTES = 16;

    /**
     * Returns the payload of the health check request that the daemon sends to a peer while no server is being checked.
     */
    private byte[] awaitHealthCheckRequest(Daemon daemon, FakeCacheServer silentServer, DatagramSocket peer)
            throws Exception {
        DatagramPacket received = emptyPacket();
        peer.setSoTimeout(50);
        for (int from = 0; ; from += 20) {
            int first = from;
            new LoadClient(fleet.loop(), daemon.address("main"), 20, i -> DaemonHarness.read("k/" + (first + i)))
                    .start(4, 1)
                    .get(100, TimeUnit.SECONDS);
            try {
                while (true) {
                    peer.receive(received);
                    if (received.getData()[2] == FleetHealthChecks.TOPIC) {
                        return Arrays.copyOfRange(
                                received.getData(),
                                DatagramEnvelope.MAX_DATAGRAM_BYTES - DatagramEnvelope.MAX_PAYLOAD_BYTES - MAC_BYTES,
                                received.getLength() - CHECKSUM_BYTES);
                    }
                }
            } catch (SocketTimeoutException e) {
                assertThat(silentServer.probes())
                        .as("checks while the request is pending")
                        .isZero();
            }
        }
    }

    private String fileWithShortTimeouts(String sections) {
        return "[limits]\nconnect_timeout_ms = 10\nmax_retry_after_ms = 5\n"
                + DaemonHarness.CLASSES
                        .replace("aim_ms = 10000", "aim_ms = 100")
                        .replace("deadline_ms = 20000", "deadline_ms = 1000")
                + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.pool("pages", fleet, "", fleet.nodes.toArray(new FakeCacheServer[0]))
                + DaemonHarness.route("all", "", "pages") + "[control]\nlisten = \"127.0.0.1:0\"\n" + sections;
    }

    @Test
    void delegatedHealthCheckIsMadeHereWhenFleetIsReplacedOrPeerIsSilent() throws Exception {
        fleet.close();
        fleet = new FakeFleet(2);
        FakeCacheServer silentServer = fleet.nodes.get(1);
        int port = Ports.free();
        try (DatagramSocket peer = new DatagramSocket(0, loopback())) {
            String two = fleetOf("p1", port, "", "p1@" + port, "p2@" + peer.getLocalPort());
            silentServer.muted(true);
            try (Daemon daemon = Daemon.start(
                    DaemonConfigReader.parse(
                            "f", fileWithShortTimeouts(two + "[fleet.probe]\nlease_ms = 150\npatience_ms = 10000\n")),
                    5)) {
                awaitHealthCheckRequest(daemon, silentServer, peer);
                silentServer.muted(false);
                daemon.load(DaemonConfigReader.parse(
                        "f",
                        fileWithShortTimeouts(two.replace("longest_lease_ms = 150", "longest_lease_ms = 160")
                                + "[fleet.probe]\nlease_ms = 150\npatience_ms = 10000\n")));
                while (silentServer.probes() == 0) {
                    Thread.onSpinWait();
                }
                assertThat(call(daemon, "GET /fleet"))
                        .startsWith("200 {\"me\":\"p1\"")
                        .contains("\"trials\":{\"own\":0")
                        .contains("\"p2\":\"unknown\"");
            }
            int before = silentServer.probes();
            silentServer.muted(true);
            try (Daemon daemon = Daemon.start(
                    DaemonConfigReader.parse(
                            "f", fileWithShortTimeouts(two + "[fleet.probe]\nlease_ms = 150\npatience_ms = 300\n")),
                    5)) {
                for (int from = 0; silentServer.probes() == before; from += 20) {
                    int first = from;
                    new LoadClient(
                                    fleet.loop(),
                                    daemon.address("main"),
                                    20,
                                    i -> DaemonHarness.read("k/" + (first + i)))
                            .start(4, 1)
                            .get(100, TimeUnit.SECONDS);
                }
                assertThat(call(daemon, "POST /fleet")).startsWith("405");
            }
        }
    }

    /**
     * If clients' requests are the checks, none is sent to an ejected server while the lease holder's result is
     * pending; a healthy result allows them again.
     */
    @Test
    void requestIsNoHealthCheckWhileResultIsPending() throws Exception {
        fleet.close();
        fleet = new FakeFleet(2);
        FakeCacheServer silentServer = fleet.nodes.get(1);
        int port = Ports.free();
        try (DatagramSocket peer = new DatagramSocket(0, loopback())) {
            silentServer.muted(true);
            try (Daemon daemon = Daemon.start(
                    DaemonConfigReader.parse(
                            "f",
                            fileWithShortTimeouts(fleetOf("p1", port, "", "p1@" + port, "p2@" + peer.getLocalPort())
                                    + "[fleet.probe]\nby = \"requests\"\nlease_ms = 150\npatience_ms = 10000\n")),
                    5)) {
                HealthCheckMessage request =
                        HealthCheckMessage.decode(awaitHealthCheckRequest(daemon, silentServer, peer));
                int commandsBefore = silentServer.commands();
                sendRequests(daemon, 40);
                assertThat(silentServer.commands())
                        .as("while the request is pending")
                        .isEqualTo(commandsBefore);
                silentServer.muted(false);
                byte[] healthy = new DatagramEnvelope(NameHash.of("p2"), 1, List.of(), List.of(NameHash.of("p1")))
                        .seal(
                                NameHash.of("p1"),
                                FleetHealthChecks.TOPIC,
                                new HealthCheckMessage(
                                                HealthCheckMessageKind.RESULT,
                                                request.leaseId(),
                                                request.server(),
                                                request.requestNumber(),
                                                1,
                                                0,
                                                true,
                                                0)
                                        .encode());
                peer.send(new DatagramPacket(healthy, healthy.length, loopback(), port));
                while (silentServer.commands() == commandsBefore) {
                    sendRequests(daemon, 20);
                }
                assertThat(silentServer.probes()).as("checks by empty commands").isZero();
                assertThat(call(daemon, "GET /fleet")).contains("\"by_word\":1");
            }
        }
    }
}
