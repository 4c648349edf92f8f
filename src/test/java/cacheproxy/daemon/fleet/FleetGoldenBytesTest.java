package cacheproxy.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.daemon.DaemonHarness;
import cacheproxy.daemon.Ports;
import cacheproxy.fakes.FakeFleet;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The bytes that a daemon sends to its peers: the topics of datagrams, and the ids of leases. */
@Timeout(60)
class FleetGoldenBytesTest {
    /** Magic byte and format version. After them follow the topic and the sender's id, here of p1. */
    private static final String START = "6301";

    private static final String P1 = "f64551fcd6f07823";
    private static final String P2 = "3946ca64ff78d93c";
    private static final int HEADER_BYTES = 27;
    private static final int CHECKSUM_BYTES = 4;
    private static final int RECEIVE_TIMEOUT_MS = 20_000;
    private static final int MAX_DATAGRAM_BYTES = 256;
    private FakeFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FakeFleet(1);
    }

    @AfterEach
    void end() {
        fleet.close();
    }

    @Test
    void protocolsHaveGoldenTopics() {
        assertThat(FleetHealthChecks.TOPIC).isEqualTo((byte) 2);
        assertThat(DelegatedWatches.TOPIC).isEqualTo((byte) 3);
        assertThat(PeerListMonitor.TOPIC).isEqualTo((byte) 4);
        assertThat(FleetQuotas.TOPIC).isEqualTo((byte) 5);
        assertThat(FleetMembership.TOPIC).isEqualTo((byte) 6);
    }

    /** Datagrams of leases have topic 1. Each campaign begins with a query (kind 0) that has the id of the lease. */
    @Test
    void daemonRequestsEachLeaseByItsId() throws Exception {
        try (DatagramSocket peer = peer();
                Daemon daemon = daemon(peer)) {
            for (String leaseId : new String[] {"c374eea599bb3c50", "3b398eadca71b726", "05638f7954aeeb33"}) {
                byte[] request = await(
                        peer,
                        digits -> digits.startsWith(START + "01" + P1)
                                && digits.startsWith("00" + leaseId, 2 * HEADER_BYTES));
                assertThat(request).hasSize(HEADER_BYTES + 37 + CHECKSUM_BYTES);
            }
        }
    }

    /**
     * The report on peer lists ends with a byte that is 1 if servers are reached. The ping to p2 has updates on no
     * other members than p1 and p2.
     */
    @Test
    void daemonReportsItsPeerListAndPingsItsPeer() throws Exception {
        try (DatagramSocket peer = peer();
                Daemon daemon = daemon(peer)) {
            byte[] list = await(
                    peer,
                    digits -> digits.startsWith(START + "04" + P1) && digits.startsWith("01", 2 * (HEADER_BYTES + 16)));
            assertThat(Arrays.copyOfRange(list, HEADER_BYTES, list.length - CHECKSUM_BYTES))
                    .isEqualTo(HexBytes.parse("00000002a304f68f 0000000000000000 01"));
            byte[] ping = await(
                    peer, digits -> digits.startsWith(START + "06" + P1) && digits.startsWith("00", 2 * HEADER_BYTES));
            assertThat(Arrays.copyOfRange(ping, HEADER_BYTES + 9, HEADER_BYTES + 17))
                    .isEqualTo(HexBytes.parse(P2));
        }
    }

    private static DatagramSocket peer() throws Exception {
        DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        peer.setSoTimeout(RECEIVE_TIMEOUT_MS);
        return peer;
    }

    private Daemon daemon(DatagramSocket peer) throws Exception {
        String file = DaemonHarness.CLASSES
                + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.pool("pages", fleet, "", fleet.nodes.get(0))
                + DaemonHarness.route("all", "", "pages")
                + """
                [control]
                listen = "127.0.0.1:0"
                [fleet]
                me = "p1"
                listen = "127.0.0.1:%1$d"
                longest_lease_ms = 150
                [[fleet.peer]]
                name = "p1"
                address = "127.0.0.1:%1$d"
                [[fleet.peer]]
                name = "p2"
                address = "127.0.0.1:%2$d"
                [[duty]]
                name = "cron"
                lease_ms = 150
                [fleet.probe]
                lease_ms = 150
                [fleet.limits]
                grant_ms = 100
                lease_ms = 100
                [[fleet.limit]]
                name = "slow"
                per_second = 5
                """.formatted(Ports.free(), peer.getLocalPort());
        return Daemon.start(DaemonConfigReader.parse("f", file), 5);
    }

    /** Receives datagrams until the hexadecimal digits of one match, and returns that datagram. */
    private static byte[] await(DatagramSocket peer, Predicate<String> matches) throws Exception {
        DatagramPacket received = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < RECEIVE_TIMEOUT_MS * 1_000_000L) {
            received.setLength(MAX_DATAGRAM_BYTES);
            peer.receive(received);
            byte[] datagram = Arrays.copyOf(received.getData(), received.getLength());
            if (matches.test(HexFormat.of().formatHex(datagram))) {
                return datagram;
            }
        }
        throw new AssertionError("no matching datagram within " + RECEIVE_TIMEOUT_MS + " ms");
    }
}
